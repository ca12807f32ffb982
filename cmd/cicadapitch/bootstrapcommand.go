package main

import (
	"context"
	"io"

	"github.com/integrii/flaggy"
)

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
