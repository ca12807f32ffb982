package peer

import (
	"context"
	"errors"
	"fmt"

	"cicadapitch.example/cicadapitch"
)

// ErrConnectionLost is the cause of a handler's context that ended because the
// connection of its caller ended. The caller has been told OutcomeUnknown.
var ErrConnectionLost = cicadapitch.NewError(cicadapitch.Unavailable,
	"the caller's connection ended", "finish work that may not be repeated")

// ErrCancelled is the cause of a handler's context that its caller cancelled.
var ErrCancelled = cicadapitch.NewError(cicadapitch.Unavailable,
	"the caller cancelled the call", "stop the work")

const (
	closingRetry cicadapitch.Millis = 1000
	dialRetry    cicadapitch.Millis = 500
	fullRetry    cicadapitch.Millis = 100
)

var (
	errSilent = cicadapitch.NewError(cicadapitch.Unavailable,
		"the connection went silent", "use a new connection")
	errFlooded = cicadapitch.NewError(cicadapitch.Unavailable,
		"the peer does not read its connection", "use a new connection")
	errClosed = cicadapitch.NewError(cicadapitch.Unavailable,
		"the connection was closed", "use a new connection")
)

// notRun reports a request that was never handed to a connection.
func notRun(address, name string, err error) error {
	return because(cicadapitch.NewNotRun(
		fmt.Sprintf("call %s to %s was not sent: %v", name, address, err), dialRetry), err)
}

// outcomeUnknown reports a request whose connection or caller ended before the
// response.
func outcomeUnknown(address, name string, err error) error {
	return because(cicadapitch.NewOutcomeUnknown(
		fmt.Sprintf("call %s to %s has no response: %v", name, address, err)), err)
}

// because keeps the standard library's context errors recognisable.
func because(e *cicadapitch.Error, cause error) error {
	for _, known := range []error{context.Canceled, context.DeadlineExceeded} {
		if errors.Is(cause, known) {
			return fmt.Errorf("%w: %w", e, known)
		}
	}
	return e
}

// wireError turns a handler's error into what crosses the wire.
func wireError(err error) *cicadapitch.Error {
	if e := cicadapitch.AsError(err); e != nil {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return cicadapitch.NewOutcomeUnknown("the handler was stopped: " + err.Error())
	}
	return cicadapitch.NewError(cicadapitch.Internal, err.Error(), "report this with the logs of the host")
}
