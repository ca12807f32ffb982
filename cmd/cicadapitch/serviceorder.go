package main

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/order"
)

// newNamedOrder returns a command for an order about the element that its one
// argument names.
func newNamedOrder[B any](
	name, description, api, argument string, body func(f order.ChangeField, id string) B,
) command {
	var id string
	c := newOrderCommand(name, description, api, func(f order.ChangeField) (B, error) { return body(f, id), nil })
	c.positional(&id, argument, 1, "name of the "+argument)
	return c
}

func newZoneOrder(name string, out bool) command {
	var force bool
	c := newNamedOrder(name, inOrOut("an availability zone", out), "zone", "zone",
		func(f order.ChangeField, id string) order.ZoneOrder {
			return order.ZoneOrder{ChangeField: f, Zone: cicadapitch.ZoneID(id), Out: out, Force: force}
		})
	return c.withForce(out, &force)
}

func newHostOrder(name string, out bool) command {
	var force bool
	c := newNamedOrder(name, inOrOut("an entry host", out), "host", "host",
		func(f order.ChangeField, id string) order.HostOrder {
			return order.HostOrder{ChangeField: f, Host: cicadapitch.HostID(id), Out: out, Force: force}
		})
	return c.withForce(out, &force)
}

func newEndpointOrder(name string, out bool) command {
	var force bool
	c := newNamedOrder(name, inOrOut("an endpoint", out), "endpoint", "endpoint",
		func(f order.ChangeField, id string) order.EndpointOrder {
			return order.EndpointOrder{ChangeField: f, Endpoint: cicadapitch.EndpointID(id), Out: out, Force: force}
		})
	return c.withForce(out, &force)
}

func newCustomerServiceOrder(name string, out bool) command {
	return newNamedOrder(name, inOrOut("a customer", out), "customer-service", "customer",
		func(f order.ChangeField, id string) order.CustomerServiceOrder {
			return order.CustomerServiceOrder{ChangeField: f, Customer: cicadapitch.CustomerID(id), Out: out}
		})
}

func inOrOut(what string, out bool) string {
	if out {
		return "takes " + what + " out of service"
	}
	return "brings " + what + " back in service"
}

// withForce adds the flag force to orders that take something out.
func (c command) withForce(out bool, force *bool) command {
	if out {
		c.sub.Bool(force, "", "force", "take it out even if nothing is left in service")
	}
	return c
}
