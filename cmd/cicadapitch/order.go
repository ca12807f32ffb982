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
	return newGroup("order", "gives a service order and returns once it is in force",
		newZoneOrder("zone-out", true), newZoneOrder("zone-in", false),
		newHostOrder("host-out", true), newHostOrder("host-in", false),
		newEndpointOrder("endpoint-out", true), newEndpointOrder("endpoint-in", false),
		newCustomerServiceOrder("customer-out", true), newCustomerServiceOrder("customer-in", false),
		newPipelineOrder(), newPipelineRemoval(),
		newCustomerOrder(), newCustomerRemoval(),
		newDeadlineOrder(), newModelOrder(),
	)
}

// orderFlags are the flags that all orders have.
type orderFlags struct {
	connection
	change string
}

func (f *orderFlags) addTo(c command) {
	f.connection.addTo(c.sub)
	c.sub.String(&f.change, "", "change", "change id of an order to repeat")
}

// changeField returns the given change id or mints one.
func changeField(id string) order.ChangeField {
	if id == "" {
		return order.ChangeField{Change: administration.NewChangeID()}
	}
	return order.ChangeField{Change: cicadapitch.ChangeID(id)}
}

// newOrderCommand returns a command that gives the order named api with the
// body that makeBody builds from the flags.
func newOrderCommand[B any](name, description, api string, makeBody func(order.ChangeField) (B, error)) command {
	var f orderFlags
	c := newLeaf(name, description, func(ctx context.Context, w io.Writer) error {
		field := changeField(f.change)
		body, err := makeBody(field)
		if err != nil {
			return err
		}
		return giveOrder(ctx, w, &f.connection, api, field.Change, body)
	})
	f.addTo(c)
	return c
}

func giveOrder(
	ctx context.Context, w io.Writer, conn *connection, name string, change cicadapitch.ChangeID, body any,
) error {
	client, err := conn.client()
	if err != nil {
		return err
	}
	result, err := client.Order(ctx, name, body)
	if err != nil {
		return withChange(err, change)
	}
	return conn.print(w, result, func(w io.Writer) {
		fmt.Fprintln(w, result)
		if result.InForce < result.Hosts {
			printBehind(ctx, w, client, result.Revision)
		}
	})
}

// printBehind names the hosts that do not have a revision yet.
func printBehind(ctx context.Context, w io.Writer, client *administration.Client, r cicadapitch.Revision) {
	s, err := status(ctx, client)
	if err != nil {
		return
	}
	for _, m := range s.Members {
		if m.Revision < r {
			fmt.Fprintf(w, "  not yet on %s in zone %s, which is %s at revision %d\n", m.Host, m.Zone, m.State, m.Revision)
		}
	}
}

// withChange names the change id in the remedy, so that it can be repeated.
func withChange(err error, change cicadapitch.ChangeID) error {
	e := cicadapitch.AsError(err)
	if e == nil || e.Kind != cicadapitch.OutcomeUnknown {
		return err
	}
	told := *e
	told.Remedy += fmt.Sprintf(": --change %s", change)
	return &told
}
