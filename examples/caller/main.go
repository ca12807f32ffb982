// Command caller sends one request through the client library and prints the
// answer as it streams.
//
//	go run ./examples/caller http://127.0.0.1:18201 sample-key-of-club answer "which slots are free?"
package main

import (
	"context"
	"fmt"
	"os"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/client"
)

// deadline limits the time until the whole answer has arrived.
const deadline = 9 * cicadapitch.Second

func main() {
	const wantArgs = 5
	if len(os.Args) != wantArgs {
		fmt.Fprintln(os.Stderr, "usage: caller HOST-URL KEY PIPELINE INPUT")
		os.Exit(2)
	}
	if err := sendRequest(os.Args[1], os.Args[2], os.Args[3], os.Args[4]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// sendRequest sends one request, prints the streamed text, the output and the time
// and cost of each stage.
func sendRequest(host, key, pipeline, input string) error {
	c := client.New([]string{host}, key)
	req := cicadapitch.Request{Pipeline: cicadapitch.PipelineID(pipeline), Input: input, Deadline: deadline}
	a, err := c.Do(context.Background(), req, func(c cicadapitch.Chunk) { fmt.Print(c.Text) })
	switch cicadapitch.KindOf(err) {
	case cicadapitch.OutcomeUnknown:
		return fmt.Errorf("outcome unknown; check whether the request took effect before sending it again: %w", err)
	case cicadapitch.NotRun:
		return fmt.Errorf("request was not run and may be sent again: %w", err)
	}
	if err != nil {
		return err
	}
	fmt.Printf("\n%s\n", a.Output)
	for _, s := range a.Stages {
		fmt.Printf("%s on %s: %d ms, cost %.4f\n", s.Stage, s.Endpoint, s.Served, float64(s.Cost))
	}
	return nil
}
