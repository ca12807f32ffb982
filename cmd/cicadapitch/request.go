package main

import (
	"context"
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/client"
)

// requestFlags are the flags of the command request.
type requestFlags struct {
	hosts    []string
	key      string
	zone     string
	pipeline string
	input    string
}

func newRequest() command {
	var f requestFlags
	sub := flaggy.NewSubcommand("request")
	sub.Description = "sends one request as a caller and prints its output"
	sub.StringSlice(&f.hosts, "", "host", "base URL of any host")
	sub.String(&f.key, "k", "key", "key of the customer")
	sub.String(&f.zone, "z", "zone", "availability zone of the caller")
	sub.String(&f.pipeline, "p", "pipeline", "name of the pipeline")
	sub.String(&f.input, "i", "input", "input of the request")
	return command{sub, f.run}
}

func (f *requestFlags) run(ctx context.Context, w io.Writer) error {
	caller := client.New(f.hosts, f.key, client.WithZone(cicadapitch.ZoneID(f.zone)))
	req := cicadapitch.Request{Pipeline: cicadapitch.PipelineID(f.pipeline), Input: f.input}
	a, err := caller.Do(ctx, req, nil)
	if err != nil {
		return err
	}
	fmt.Fprintln(w, a.Output)
	return nil
}
