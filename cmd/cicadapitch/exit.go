package main

import (
	"errors"
	"fmt"
	"io"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/internal/yamlfile"
)

// Exit codes of the command.
const (
	exitOK             = 0
	exitFailed         = 1
	exitInvalid        = 2
	exitDenied         = 3
	exitConflict       = 4
	exitNotAccepted    = 5 // nothing was executed, so the command may be repeated
	exitOutcomeUnknown = 6 // the command may or may not have taken effect
)

// exitCode maps the error of a command to its exit code.
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
		return exitOutcomeUnknown
	}
	return exitFailed
}

func printError(w io.Writer, err error) {
	fmt.Fprintln(w, err)
}

// usageError returns an Invalid error that points to --help.
func usageError(reason string) error {
	return cicadapitch.NewError(cicadapitch.Invalid, reason, "see cicadapitch --help")
}
