package main

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/order"
)

// newNamedOrder returns an order command with one positional argument: the name of
// the zone, host, endpoint, customer or pipeline that the order changes. targetKind
// says which of them it is.
func newNamedOrder[B any](
	name, description, orderName, targetKind string, makeBody func(f order.ChangeField, id string) B,
) command {
	var id string
	c := newOrderCommand(name, description, orderName, func(f order.ChangeField) (B, error) { return makeBody(f, id), nil })
	c.addPositional(&id, targetKind, 1, "name of the "+targetKind)
	return c
}

func newZoneOrder(name string, out bool) command {
	var force bool
	c := newNamedOrder(name, availabilityDescription("an availability zone", out), "zone", "zone",
		func(f order.ChangeField, id string) order.ZoneOrder {
			return order.ZoneOrder{ChangeField: f, Zone: cicadapitch.ZoneID(id), Out: out, Force: force}
		})
	return c.withForce(out, &force)
}

func newHostOrder(name string, out bool) command {
	var force bool
	c := newNamedOrder(name, availabilityDescription("an entry host", out), "host", "host",
		func(f order.ChangeField, id string) order.HostOrder {
			return order.HostOrder{ChangeField: f, Host: cicadapitch.HostID(id), Out: out, Force: force}
		})
	return c.withForce(out, &force)
}

func newEndpointOrder(name string, out bool) command {
	var force bool
	c := newNamedOrder(name, availabilityDescription("an endpoint", out), "endpoint", "endpoint",
		func(f order.ChangeField, id string) order.EndpointOrder {
			return order.EndpointOrder{ChangeField: f, Endpoint: cicadapitch.EndpointID(id), Out: out, Force: force}
		})
	return c.withForce(out, &force)
}

func newCustomerServiceOrder(name string, out bool) command {
	return newNamedOrder(name, availabilityDescription("a customer", out), "customer-service", "customer",
		func(f order.ChangeField, id string) order.CustomerServiceOrder {
			return order.CustomerServiceOrder{ChangeField: f, Customer: cicadapitch.CustomerID(id), Out: out}
		})
}

// availabilityDescription returns the help text of an order that takes a zone, host,
// endpoint or customer out of service, or brings it back.
func availabilityDescription(target string, out bool) string {
	if out {
		return "takes " + target + " out of service"
	}
	return "brings " + target + " back into service"
}

// withForce adds the flag --force if the order takes its target out of service.
func (c command) withForce(out bool, force *bool) command {
	if out {
		c.sub.Bool(force, "", "force", "take it out of service even if no zone, no host or no endpoint of a pool is left in service")
	}
	return c
}
