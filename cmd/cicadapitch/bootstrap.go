package main

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/platform"
)

func newBootstrap() command {
	file, store := "questionnaire.yaml", []string{}
	sub := flaggy.NewSubcommand("bootstrap")
	sub.Description = "writes the first configuration of a deployment into the store"
	sub.String(&file, "q", "questionnaire", "YAML file with the questionnaire answers")
	sub.StringSlice(&store, "s", "store", "base URL of the key-value service; repeat the flag for several")
	return command{sub, func(ctx context.Context, w io.Writer) error { return runBootstrap(ctx, w, file, store) }}
}

// runBootstrap writes the first configuration of a deployment directly to the
// store. It bypasses the hosts, because a host without a configuration knows no
// operators' keys and so accepts no orders. It returns a Conflict error if another change has already
// written a configuration.
func runBootstrap(ctx context.Context, w io.Writer, file string, store []string) error {
	cfg, err := generateConfiguration(file)
	if err != nil {
		return err
	}
	clock := cicadapitch.NewSystemClock()
	change := configuration.Change{
		ID: "bootstrap", Operator: "bootstrap", At: clock.Now(),
		Summary: "first configuration from " + file, Whole: cfg,
	}
	outcome, err := configuration.NewApplier(platform.NewStore(store), clock).Apply(ctx, change)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s as revision %d\n", outcome.Result, outcome.Revision)
	return nil
}
