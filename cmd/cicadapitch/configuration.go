package main

import (
	"context"
	"fmt"
	"io"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/administration"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/order"
	"cicadapitch.example/cicadapitch/report"
)

func newConfiguration() command {
	return newGroup("configuration", "generates, compares, applies or shows the configuration",
		newGenerate(), newDiff(), newApply(), newShow())
}

func newGenerate() command {
	var file string
	c := newLeaf("generate", "prints the configuration that answers give", func(_ context.Context, w io.Writer) error {
		cfg, err := readAnswers(file)
		if err != nil {
			return err
		}
		return printJSON(w, cfg)
	})
	c.positional(&file, "file", 1, "YAML file with the answers")
	return c
}

func newShow() command {
	var conn connection
	c := newLeaf("show", "prints the configuration in force", func(ctx context.Context, w io.Writer) error {
		client, err := conn.client()
		if err != nil {
			return err
		}
		cfg, err := inForce(ctx, client)
		if err != nil {
			return err
		}
		return printJSON(w, cfg)
	})
	conn.addTo(c.sub)
	return c
}

func newDiff() command {
	var conn connection
	var file string
	c := newLeaf("diff", "compares the configuration in force with answers", func(ctx context.Context, w io.Writer) error {
		p, err := newProposal(ctx, &conn, file)
		if err != nil {
			return err
		}
		return conn.print(w, p.changes, p.print)
	})
	c.positional(&file, "file", 1, "YAML file with the answers")
	conn.addTo(c.sub)
	return c
}

func newApply() command {
	var conn connection
	var file, change string
	base := int64(-1)
	c := newLeaf("apply", "applies the configuration that answers give", func(ctx context.Context, w io.Writer) error {
		p, err := newProposal(ctx, &conn, file)
		if err != nil {
			return err
		}
		if !conn.json {
			p.print(w)
		}
		if base >= 0 {
			p.base = cicadapitch.Revision(base)
		}
		o := order.ConfigurationOrder{ChangeField: changeField(change), Base: p.base, Configuration: *p.next}
		return giveOrder(ctx, w, &conn, "configuration", o.Change, o)
	})
	c.positional(&file, "file", 1, "YAML file with the answers")
	c.sub.Int64(&base, "", "base", "revision that was compared with; the one in force where left out")
	c.sub.String(&change, "", "change", "change id of an order to repeat")
	conn.addTo(c.sub)
	return c
}

// proposal is the configuration of answers beside the one in force.
type proposal struct {
	base    cicadapitch.Revision
	next    *cicadapitch.Configuration
	changes []configuration.FieldChange
}

func newProposal(ctx context.Context, conn *connection, file string) (*proposal, error) {
	next, err := readAnswers(file)
	if err != nil {
		return nil, err
	}
	client, err := conn.client()
	if err != nil {
		return nil, err
	}
	present, err := inForce(ctx, client)
	if cicadapitch.KindOf(err) == cicadapitch.NotFound {
		present, err = &cicadapitch.Configuration{}, nil
	}
	if err != nil {
		return nil, err
	}
	merged := *present
	if err := order.SetConfiguration(present.Revision, *next)(&merged); err != nil {
		return nil, err
	}
	return &proposal{present.Revision, next, configuration.Diff(present, &merged)}, nil
}

func (p *proposal) print(w io.Writer) {
	fmt.Fprintf(w, "%d changes to revision %d\n", len(p.changes), p.base)
	for _, c := range p.changes {
		printFieldChange(w, c)
	}
}

func printFieldChange(w io.Writer, c configuration.FieldChange) {
	switch {
	case c.Before == "":
		fmt.Fprintf(w, "  + %s: %s\n", c.Field, c.After)
	case c.After == "":
		fmt.Fprintf(w, "  - %s: %s\n", c.Field, c.Before)
	default:
		fmt.Fprintf(w, "  ~ %s: %s -> %s\n", c.Field, c.Before, c.After)
	}
}

func inForce(ctx context.Context, client *administration.Client) (*cicadapitch.Configuration, error) {
	cfg := new(cicadapitch.Configuration)
	if err := client.Get(ctx, report.Path+"configuration", cfg); err != nil {
		return nil, err
	}
	return cfg, nil
}
