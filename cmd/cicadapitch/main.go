// Command cicadapitch administers a deployment and sends requests to it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := run(ctx, os.Stdout, os.Args[1:])
	stop()
	if err != nil {
		printError(os.Stderr, err)
	}
	os.Exit(exitCode(err))
}
