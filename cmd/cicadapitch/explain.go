package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/requestlog"
)

func newExplain() command {
	var file, id string
	c := newSubcommand("explain", "prints the log lines of one request",
		func(_ context.Context, w io.Writer) error {
			f, err := os.Open(file)
			if err != nil {
				return err
			}
			defer f.Close()
			lines, err := requestlog.Filter(f, cicadapitch.RequestID(id))
			if err != nil {
				return err
			}
			for _, l := range lines {
				if _, err := fmt.Fprintln(w, l.Text); err != nil {
					return err
				}
			}
			return nil
		})
	c.sub.String(&file, "l", "log", "file with the logs of all hosts (required)")
	c.addPositional(&id, "ID", 1, "id of the request")
	return c
}
