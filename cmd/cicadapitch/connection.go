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

// keyVariable is the environment variable that holds the operator's key.
const keyVariable = "CICADAPITCH_KEY"

// connectionFlags are the flags of commands that call the administration API of a
// deployment.
type connectionFlags struct {
	hosts   []string
	key     string
	keyFile string
	json    bool
}

// addFlags adds the flags to sub.
func (c *connectionFlags) addFlags(sub *flaggy.Subcommand) {
	sub.StringSlice(&c.hosts, "", "host", "base URL of a host; repeat the flag to name hosts to use if it is down")
	sub.String(&c.key, "k", "key", "operator's key; visible in the process list, so prefer "+keyVariable+" or --key-file")
	sub.String(&c.keyFile, "", "key-file", "file with the operator's key")
	sub.Bool(&c.json, "", "json", "print JSON")
}

// client returns a client with the operator's key. The file of --key-file has
// precedence over --key, and --key over the environment variable.
func (c *connectionFlags) client() (*administration.Client, error) {
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
		return nil, usageError("the operator's key is missing: set " + keyVariable + ", --key-file or --key")
	}
	return administration.New(c.hosts, key), nil
}

// print writes v as JSON if --json is set, and otherwise calls writeText.
func (c *connectionFlags) print(w io.Writer, v any, writeText func(io.Writer)) error {
	if c.json {
		return printJSON(w, v)
	}
	writeText(w)
	return nil
}

// printJSON writes v as indented JSON.
func printJSON(w io.Writer, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	_, err = fmt.Fprintf(w, "%s\n", b)
	return cicadapitch.Wrap(err)
}
