package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/administration"
)

// keyVariable is the environment variable with the operator's key.
const keyVariable = "CICADAPITCH_KEY"

// connection is the flags that say how to reach a deployment.
type connection struct {
	hosts   []string
	key     string
	keyFile string
	json    bool
}

func (c *connection) addTo(sub *flaggy.Subcommand) {
	sub.StringSlice(&c.hosts, "", "host", "base URL of a host; give several to pass over those that are down")
	sub.String(&c.key, "k", "key", "operator's key; "+keyVariable+" or --key-file keep it out of the process list")
	sub.String(&c.keyFile, "", "key-file", "file with the operator's key")
	sub.Bool(&c.json, "", "json", "print JSON")
}

func (c *connection) client() (*administration.Client, error) {
	key := c.key
	if key == "" {
		key = os.Getenv(keyVariable)
	}
	if c.keyFile != "" {
		b, err := os.ReadFile(c.keyFile)
		if err != nil {
			return nil, cicadapitch.NewError(cicadapitch.Invalid, err.Error(), "check the path of --key-file")
		}
		key = strings.TrimSpace(string(b))
	}
	if key == "" {
		return nil, usage("the operator's key is missing: set " + keyVariable + ", --key-file or --key")
	}
	return administration.New(c.hosts, key), nil
}

// print writes v as JSON where that was asked for, or else as text.
func (c *connection) print(w io.Writer, v any, text func(io.Writer)) error {
	if c.json {
		return printJSON(w, v)
	}
	text(w)
	return nil
}

func printJSON(w io.Writer, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	_, err = fmt.Fprintf(w, "%s\n", b)
	return cicadapitch.Wrap(err)
}
