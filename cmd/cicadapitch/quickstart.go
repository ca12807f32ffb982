package main

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/client"
	"cicadapitch.example/cicadapitch/deployment"
	"cicadapitch.example/cicadapitch/examples/quickstart"
)

const (
	quickstartKey     = "sample-key-of-club"
	quickstartTimeout = 20 * cicadapitch.Second
)

func newQuickstart() command {
	serve := false
	sub := flaggy.NewSubcommand("quickstart")
	sub.Description = "runs a whole deployment in this process and sends it requests"
	sub.Bool(&serve, "", "serve", "keep serving until interrupted")
	return command{sub, func(ctx context.Context, w io.Writer) error { return runQuickstart(ctx, w, serve) }}
}

// runQuickstart starts a whole deployment in this process and sends one request
// through each pipeline. If serve is set, it then serves until interrupted.
func runQuickstart(ctx context.Context, w io.Writer, serve bool) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	local, err := deployment.NewLocal(quickstart.Questionnaire)
	if err != nil {
		return err
	}
	if err := local.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	defer local.Stop()
	fmt.Fprintf(w, "started %d hosts in %d zones on %v\n",
		len(local.Seeds()), len(local.Configuration.Zones), local.Seeds())
	if err := requestAll(ctx, w, local); err != nil {
		return err
	}
	if serve {
		fmt.Fprintln(w, "serving until interrupted")
		<-ctx.Done()
	}
	return nil
}

// requestAll waits until the hosts are ready and sends one request through each
// pipeline.
func requestAll(ctx context.Context, w io.Writer, local *deployment.Local) error {
	ctx, cancel := context.WithTimeout(ctx, quickstartTimeout.Duration())
	defer cancel()
	if err := local.WaitReady(ctx); err != nil {
		return err
	}
	caller := client.New(local.Seeds(), quickstartKey)
	for _, p := range local.Configuration.Pipelines {
		if err := request(ctx, w, caller, p.ID); err != nil {
			return err
		}
	}
	fmt.Fprintf(w, "bookings at the booking stand-ins: %d\n", len(local.Bookings("booking")))
	return nil
}

// request sends one request through pipeline p and prints its answer.
func request(ctx context.Context, w io.Writer, caller *client.Client, p cicadapitch.PipelineID) error {
	req := cicadapitch.Request{Pipeline: p, Input: "which slots are free on Saturday?"}
	chunks := 0
	a, err := caller.Do(ctx, req, func(cicadapitch.Chunk) { chunks++ })
	if err != nil {
		return err
	}
	stages := lo.Map(a.Stages, func(s cicadapitch.StageReport, _ int) string {
		return fmt.Sprintf("%s on %s (%d ms)", s.Stage, s.Endpoint, s.Served)
	})
	fmt.Fprintf(w, "pipeline %s: %d streamed chunks, stages %v\n  output: %s\n", p, chunks, stages, a.Output)
	return nil
}
