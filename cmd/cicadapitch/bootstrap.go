package main

import (
	"context"
	"fmt"
	"io"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/platform"
)

// runBootstrap writes the first configuration of a deployment straight into
// the store. Until there is one, no host knows an operator's key. It is refused
// where a configuration is there already.
func runBootstrap(ctx context.Context, w io.Writer, file string, store []string) error {
	cfg, err := readAnswers(file)
	if err != nil {
		return err
	}
	clock := cicadapitch.NewSystemClock()
	change := configuration.Change{
		ID: "bootstrap", Operator: "bootstrap", At: clock.Now(),
		Summary: "first configuration from " + file, Whole: cfg,
	}
	out, err := configuration.NewApplier(platform.NewStore(store), clock).Apply(ctx, change)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "%s as revision %d\n", out.Result, out.Revision)
	return nil
}
