package main

import (
	"errors"
	"fmt"
	"io"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/internal/yamlfile"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitInvalid     = 2
	exitDenied      = 3
	exitConflict    = 4
	exitNotAccepted = 5
	exitUnknown     = 6
)

// exitCode returns the exit code for the outcome of a command.
func exitCode(err error) int {
	var problems yamlfile.Problems
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &problems):
		return exitInvalid
	}
	switch cicadapitch.KindOf(err) {
	case cicadapitch.Invalid, cicadapitch.NotFound:
		return exitInvalid
	case cicadapitch.Denied:
		return exitDenied
	case cicadapitch.Conflict:
		return exitConflict
	case cicadapitch.NotRun, cicadapitch.Unavailable:
		return exitNotAccepted
	case cicadapitch.OutcomeUnknown:
		return exitUnknown
	}
	return exitFailed
}

func printError(w io.Writer, err error) {
	fmt.Fprintln(w, err)
}

func usage(reason string) error {
	return cicadapitch.NewError(cicadapitch.Invalid, reason, "see cicadapitch --help")
}
