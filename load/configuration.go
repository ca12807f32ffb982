package load

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/standin"
)

// PipelinesOf returns all pipelines of a configuration with equal weights. If
// standins is true, Expected returns the output that stand-in endpoints compute.
func PipelinesOf(cfg *cicadapitch.Configuration, standins bool) []Pipeline {
	var list []Pipeline
	for _, p := range cfg.Pipelines {
		l := Pipeline{ID: p.ID, Weight: 1, Deadline: p.Deadline, FirstToken: p.FirstToken, BetweenTokens: p.BetweenTokens}
		if standins {
			l.Expected = func(input string) string { return expectedOutput(cfg, p, input) }
		}
		list = append(list, l)
	}
	return list
}

// expectedOutput returns the output of a pipeline whose endpoints are stand-ins.
func expectedOutput(cfg *cicadapitch.Configuration, p cicadapitch.Pipeline, input string) string {
	for _, s := range p.Stages {
		pool, _ := cfg.Pool(s.Pool)
		if pool.Kind == cicadapitch.Engine {
			input = standin.Completion(input, s.MaxTokens)
		} else {
			input = standin.ServiceOutput(string(s.Pool), input)
		}
	}
	return input
}

// CallersOf returns a caller for each customer and zone of a configuration,
// weighted by the customer's share. keyOf returns the key of a customer.
func CallersOf(cfg *cicadapitch.Configuration, keyOf func(cicadapitch.CustomerID) string) []Caller {
	var list []Caller
	for _, c := range cfg.Customers {
		deadlines := make(map[cicadapitch.PipelineID]cicadapitch.Millis)
		for _, d := range c.Deadlines {
			deadlines[d.Pipeline] = d.Deadline
		}
		for _, z := range cfg.Zones {
			list = append(list, Caller{
				Customer: c.ID, Key: keyOf(c.ID), Zone: z.ID, Weight: float64(c.Share), Deadlines: deadlines,
			})
		}
	}
	return list
}
