// Command cicadapitch is the command line of operators and callers.
package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"
)

// command is one subcommand. run is called where it was chosen.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, w io.Writer) error
}

var commands = []command{newQuickstart(), newBootstrap(), newRequest()}

func main() {
	flaggy.SetName("cicadapitch")
	flaggy.SetDescription("Operates a cicadapitch deployment.")
	for _, c := range commands {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.sub.Used {
			exit(c.run(context.Background(), os.Stdout))
		}
	}
	flaggy.ShowHelpAndExit("choose a command")
}

func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

func newQuickstart() command {
	serve := false
	sub := flaggy.NewSubcommand("quickstart")
	sub.Description = "runs a whole deployment in this process and sends it requests"
	sub.Bool(&serve, "", "serve", "go on until interrupted")
	return command{sub, func(ctx context.Context, w io.Writer) error { return runQuickstart(ctx, w, serve) }}
}

func newBootstrap() command {
	file, store := "questionnaire.yaml", []string{}
	sub := flaggy.NewSubcommand("bootstrap")
	sub.Description = "writes the first configuration of a deployment into the store"
	sub.String(&file, "q", "questionnaire", "YAML file with the answers")
	sub.StringSlice(&store, "s", "store", "base URL of the key-value service")
	return command{sub, func(ctx context.Context, w io.Writer) error { return runBootstrap(ctx, w, file, store) }}
}
