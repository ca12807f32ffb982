package order

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// SetCustomer creates, replaces or removes a customer. Replace keeps the existing
// KeyHash, Share and Deadlines if c has none, and always keeps Out.
func SetCustomer(a Action, c cicadapitch.Customer) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Customers, func(o cicadapitch.Customer) bool { return o.ID == c.ID })
		if err := a.checkExists(i >= 0, "customer", string(c.ID)); err != nil {
			return err
		}
		switch a {
		case Create:
			cfg.Customers = append(cfg.Customers, c)
		case Replace:
			cfg.Customers[i] = mergeCustomer(cfg.Customers[i], c)
		case Remove:
			cfg.Customers = slices.Delete(cfg.Customers, i, i+1)
		}
		return nil
	}
}

// mergeCustomer returns c with the unset fields and Out taken from before.
func mergeCustomer(before, c cicadapitch.Customer) cicadapitch.Customer {
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
			return errUnknown("customer", string(id))
		}
		cfg.Customers[i].Out = out
		return nil
	}
}

// SetDeadline sets the deadline of a customer for a pipeline, overriding that of the
// pipeline. A Deadline of 0 removes it.
func SetDeadline(id cicadapitch.CustomerID, d cicadapitch.CustomerDeadline) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		i := slices.IndexFunc(cfg.Customers, func(c cicadapitch.Customer) bool { return c.ID == id })
		if i < 0 {
			return errUnknown("customer", string(id))
		}
		if _, ok := cfg.Pipeline(d.Pipeline); !ok {
			return errUnknown("pipeline", string(d.Pipeline))
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
