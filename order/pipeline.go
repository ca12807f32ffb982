package order

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// SetPipeline creates, replaces or removes a pipeline. Removing a pipeline also
// removes the customers' deadlines for it.
func SetPipeline(a Action, p cicadapitch.Pipeline) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Pipelines, func(o cicadapitch.Pipeline) bool { return o.ID == p.ID })
		if err := a.checkExists(i >= 0, "pipeline", string(p.ID)); err != nil {
			return err
		}
		switch a {
		case Create:
			cfg.Pipelines = append(cfg.Pipelines, p)
		case Replace:
			cfg.Pipelines[i] = p
		case Remove:
			cfg.Pipelines = slices.Delete(cfg.Pipelines, i, i+1)
			removeDeadlines(cfg, p.ID)
		}
		return nil
	}
}

// removeDeadlines removes the deadlines of all customers for a pipeline.
func removeDeadlines(cfg *cicadapitch.Configuration, id cicadapitch.PipelineID) {
	for i := range cfg.Customers {
		cfg.Customers[i].Deadlines = slices.DeleteFunc(cfg.Customers[i].Deadlines,
			func(d cicadapitch.CustomerDeadline) bool { return d.Pipeline == id })
	}
}
