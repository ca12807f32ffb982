package main

import (
	"context"
	"fmt"
	"io"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/administration"
	"cicadapitch.example/cicadapitch/order"
)

func newOrder() command {
	return newGroup("order", "sends a service order and waits until it is in force",
		newZoneOrder("zone-out", true), newZoneOrder("zone-in", false),
		newHostOrder("host-out", true), newHostOrder("host-in", false),
		newEndpointOrder("endpoint-out", true), newEndpointOrder("endpoint-in", false),
		newCustomerServiceOrder("customer-out", true), newCustomerServiceOrder("customer-in", false),
		newPipelineOrder(), newPipelineRemoval(),
		newCustomerOrder(), newCustomerRemoval(),
		newDeadlineOrder(), newModelOrder(),
	)
}

// orderFlags are the flags of all order commands.
type orderFlags struct {
	connectionFlags
	change string
}

// addFlags adds the flags of all orders to c.
func (f *orderFlags) addFlags(c command) {
	f.connectionFlags.addFlags(c.sub)
	c.sub.String(&f.change, "", "change", "change id of the order to repeat")
}

// changeField returns a field with the given change id, or with a new one if id is
// empty.
func changeField(id string) order.ChangeField {
	if id == "" {
		return order.ChangeField{Change: administration.NewChangeID()}
	}
	return order.ChangeField{Change: cicadapitch.ChangeID(id)}
}

// newOrderCommand returns a command that posts an order to the API path
// order.Path+orderName. Its body is built by makeBody from the flags.
func newOrderCommand[B any](name, description, orderName string, makeBody func(order.ChangeField) (B, error)) command {
	var f orderFlags
	c := newSubcommand(name, description, func(ctx context.Context, w io.Writer) error {
		field := changeField(f.change)
		body, err := makeBody(field)
		if err != nil {
			return err
		}
		return sendOrder(ctx, w, &f.connectionFlags, orderName, field.Change, body)
	})
	f.addFlags(c)
	return c
}

// sendOrder sends an order and prints its result, with the hosts that do not apply
// the change yet.
func sendOrder(
	ctx context.Context, w io.Writer, conn *connectionFlags, orderName string, change cicadapitch.ChangeID, body any,
) error {
	client, err := conn.client()
	if err != nil {
		return err
	}
	result, err := client.Order(ctx, orderName, body)
	if err != nil {
		return addChangeID(err, change)
	}
	return conn.print(w, result, func(w io.Writer) {
		fmt.Fprintln(w, result)
		if result.InForce < result.Hosts {
			printOutdatedHosts(ctx, w, client, result.Revision)
		}
	})
}

// printOutdatedHosts prints the hosts whose configuration is older than revision
// r. It prints nothing if the status of the hosts cannot be fetched.
func printOutdatedHosts(ctx context.Context, w io.Writer, client *administration.Client, r cicadapitch.Revision) {
	s, err := fetchStatus(ctx, client)
	if err != nil {
		return
	}
	for _, m := range s.Members {
		if m.Revision < r {
			fmt.Fprintf(w, "  not yet on %s in zone %s, which is %s at revision %d\n", m.Host, m.Zone, m.State, m.Revision)
		}
	}
}

// addChangeID adds the change id to the remedy of an OutcomeUnknown error, so that
// the operator can repeat the order.
func addChangeID(err error, change cicadapitch.ChangeID) error {
	e := cicadapitch.AsError(err)
	if e == nil || e.Kind != cicadapitch.OutcomeUnknown {
		return err
	}
	withID := *e
	withID.Remedy += fmt.Sprintf(": --change %s", change)
	return &withID
}
