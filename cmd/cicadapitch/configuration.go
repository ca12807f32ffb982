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
	c := newSubcommand("generate", "prints the configuration generated from answers", func(_ context.Context, w io.Writer) error {
		cfg, err := generateConfiguration(file)
		if err != nil {
			return err
		}
		return printJSON(w, cfg)
	})
	c.addPositional(&file, "file", 1, "YAML file with the questionnaire answers")
	return c
}

func newShow() command {
	var conn connectionFlags
	c := newSubcommand("show", "prints the configuration in force", func(ctx context.Context, w io.Writer) error {
		client, err := conn.client()
		if err != nil {
			return err
		}
		cfg, err := configurationInForce(ctx, client)
		if err != nil {
			return err
		}
		return printJSON(w, cfg)
	})
	conn.addFlags(c.sub)
	return c
}

func newDiff() command {
	var conn connectionFlags
	var file string
	c := newSubcommand("diff", "compares answers with the configuration in force", func(ctx context.Context, w io.Writer) error {
		p, err := newProposal(ctx, &conn, file)
		if err != nil {
			return err
		}
		return conn.print(w, p.changes, p.print)
	})
	c.addPositional(&file, "file", 1, "YAML file with the questionnaire answers")
	conn.addFlags(c.sub)
	return c
}

func newApply() command {
	var conn connectionFlags
	var file, change string
	base := int64(-1)
	c := newSubcommand("apply", "generates a configuration and applies it", func(ctx context.Context, w io.Writer) error {
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
		return sendOrder(ctx, w, &conn, "configuration", o.Change, o)
	})
	c.addPositional(&file, "file", 1, "YAML file with the questionnaire answers")
	c.sub.Int64(&base, "", "base", "revision that the change is based on; the revision in force by default")
	c.sub.String(&change, "", "change", "change id of the order to repeat")
	conn.addFlags(c.sub)
	return c
}

// proposal is a configuration generated from questionnaire answers, compared with
// the configuration in force.
type proposal struct {
	// base is the revision in force, or 0 if there is no configuration.
	base    cicadapitch.Revision
	next    *cicadapitch.Configuration
	changes []configuration.FieldChange
}

// newProposal generates a configuration from a file of answers and compares it
// with the one in force, or with an empty one if the deployment has none.
func newProposal(ctx context.Context, conn *connectionFlags, file string) (*proposal, error) {
	next, err := generateConfiguration(file)
	if err != nil {
		return nil, err
	}
	client, err := conn.client()
	if err != nil {
		return nil, err
	}
	current, err := configurationInForce(ctx, client)
	if cicadapitch.KindOf(err) == cicadapitch.NotFound {
		current, err = &cicadapitch.Configuration{}, nil
	}
	if err != nil {
		return nil, err
	}
	merged := *current
	if err := order.SetConfiguration(current.Revision, *next)(&merged); err != nil {
		return nil, err
	}
	return &proposal{current.Revision, next, configuration.Diff(current, &merged)}, nil
}

func (p *proposal) print(w io.Writer) {
	fmt.Fprintf(w, "%d changes to revision %d\n", len(p.changes), p.base)
	for _, c := range p.changes {
		printFieldChange(w, c)
	}
}

// printFieldChange prints an added, removed or changed field as one line.
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

// configurationInForce fetches the configuration that a host of the deployment
// applies. It returns a NotFound error if there is none yet.
func configurationInForce(ctx context.Context, client *administration.Client) (*cicadapitch.Configuration, error) {
	cfg := new(cicadapitch.Configuration)
	if err := client.Get(ctx, report.Path+"configuration", cfg); err != nil {
		return nil, err
	}
	return cfg, nil
}
