package order

import (
	"fmt"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// SetPipeline creates, changes or removes a pipeline. Removal also removes the
// customers' own deadlines for it.
func SetPipeline(a Action, p cicadapitch.Pipeline) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Pipelines, func(o cicadapitch.Pipeline) bool { return o.ID == p.ID })
		if err := a.fits(i >= 0, "pipeline", string(p.ID)); err != nil {
			return err
		}
		switch a {
		case Create:
			cfg.Pipelines = append(cfg.Pipelines, p)
		case Replace:
			cfg.Pipelines[i] = p
		case Remove:
			cfg.Pipelines = slices.Delete(cfg.Pipelines, i, i+1)
			dropDeadlines(cfg, p.ID)
		}
		return nil
	}
}

func dropDeadlines(cfg *cicadapitch.Configuration, id cicadapitch.PipelineID) {
	for i := range cfg.Customers {
		cfg.Customers[i].Deadlines = slices.DeleteFunc(cfg.Customers[i].Deadlines,
			func(d cicadapitch.CustomerDeadline) bool { return d.Pipeline == id })
	}
}

// SetCustomer creates, changes or removes a customer. A change keeps the key,
// the share and the deadlines where c has none, and always keeps whether the
// customer is out of service.
func SetCustomer(a Action, c cicadapitch.Customer) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Customers, func(o cicadapitch.Customer) bool { return o.ID == c.ID })
		if err := a.fits(i >= 0, "customer", string(c.ID)); err != nil {
			return err
		}
		switch a {
		case Create:
			cfg.Customers = append(cfg.Customers, c)
		case Replace:
			cfg.Customers[i] = changed(cfg.Customers[i], c)
		case Remove:
			cfg.Customers = slices.Delete(cfg.Customers, i, i+1)
		}
		return nil
	}
}

func changed(before, c cicadapitch.Customer) cicadapitch.Customer {
	if c.KeyHash == "" {
		c.KeyHash = before.KeyHash
	}
	if c.Share == 0 {
		c.Share = before.Share
	}
	if c.Deadlines == nil {
		c.Deadlines = before.Deadlines
	}
	c.Out = before.Out
	return c
}

// SetCustomerOut takes a customer out of service or back in.
func SetCustomerOut(id cicadapitch.CustomerID, out bool) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Customers, func(c cicadapitch.Customer) bool { return c.ID == id })
		if i < 0 {
			return unknown("customer", string(id))
		}
		cfg.Customers[i].Out = out
		return nil
	}
}

// SetDeadline sets a customer's own deadline for a pipeline. 0 removes it.
func SetDeadline(id cicadapitch.CustomerID, d cicadapitch.CustomerDeadline) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Customers, func(c cicadapitch.Customer) bool { return c.ID == id })
		if i < 0 {
			return unknown("customer", string(id))
		}
		if _, ok := cfg.Pipeline(d.Pipeline); !ok {
			return unknown("pipeline", string(d.Pipeline))
		}
		c := &cfg.Customers[i]
		c.Deadlines = slices.DeleteFunc(c.Deadlines,
			func(o cicadapitch.CustomerDeadline) bool { return o.Pipeline == d.Pipeline })
		if d.Deadline != 0 {
			c.Deadlines = append(c.Deadlines, d)
		}
		return nil
	}
}

// fits tells whether the action goes with the element being there or not.
func (a Action) fits(exists bool, what, name string) error {
	switch {
	case a == Create && exists:
		return cicadapitch.NewError(cicadapitch.Conflict, fmt.Sprintf("there is a %s %q already", what, name),
			"use the action Replace, or another name")
	case a != Create && !exists:
		return unknown(what, name)
	}
	return nil
}
