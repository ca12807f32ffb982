package main

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/order"
)

func newZoneOrder(name string, out bool) command {
	var zone string
	var force bool
	c := newOrderCommand(name, inOrOut("an availability zone", out), "zone",
		func(f order.ChangeField) (order.ZoneOrder, error) {
			return order.ZoneOrder{ChangeField: f, Zone: cicadapitch.ZoneID(zone), Out: out, Force: force}, nil
		})
	c.positional(&zone, "zone", 1, "name of the zone")
	addForce(c, out, &force)
	return c
}

func newHostOrder(name string, out bool) command {
	var host string
	var force bool
	c := newOrderCommand(name, inOrOut("an entry host", out), "host",
		func(f order.ChangeField) (order.HostOrder, error) {
			return order.HostOrder{ChangeField: f, Host: cicadapitch.HostID(host), Out: out, Force: force}, nil
		})
	c.positional(&host, "name", 1, "name of the host")
	addForce(c, out, &force)
	return c
}

func newEndpointOrder(name string, out bool) command {
	var endpoint string
	var force bool
	c := newOrderCommand(name, inOrOut("an endpoint", out), "endpoint",
		func(f order.ChangeField) (order.EndpointOrder, error) {
			return order.EndpointOrder{
				ChangeField: f, Endpoint: cicadapitch.EndpointID(endpoint), Out: out, Force: force,
			}, nil
		})
	c.positional(&endpoint, "endpoint", 1, "id of the endpoint")
	addForce(c, out, &force)
	return c
}

func newCustomerServiceOrder(name string, out bool) command {
	var customer string
	c := newOrderCommand(name, inOrOut("a customer", out), "customer-service",
		func(f order.ChangeField) (order.CustomerServiceOrder, error) {
			return order.CustomerServiceOrder{
				ChangeField: f, Customer: cicadapitch.CustomerID(customer), Out: out,
			}, nil
		})
	c.positional(&customer, "customer", 1, "name of the customer")
	return c
}

func inOrOut(what string, out bool) string {
	if out {
		return "takes " + what + " out of service"
	}
	return "brings " + what + " back in service"
}

func addForce(c command, out bool, force *bool) {
	if out {
		c.sub.Bool(force, "", "force", "take it out even if nothing is left in service")
	}
}
