package main

import (
	"fmt"
	"io"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/requestlog"
)

func newExplain() command {
	var id string
	c := newLogCommand("explain", "prints the log lines of one request",
		func(logs io.Reader, w io.Writer) error {
			lines, err := requestlog.Filter(logs, cicadapitch.RequestID(id))
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
	c.addPositional(&id, "ID", 1, "id of the request")
	return c
}
