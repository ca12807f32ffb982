package peer

import (
	"context"
	"errors"
	"fmt"
	"syscall"

	"cicadapitch.example/cicadapitch"
)

// ErrConnectionLost is the cause of a handler's context that ended because the
// caller's connection ended. The caller's call fails with OutcomeUnknown.
var ErrConnectionLost = cicadapitch.NewError(cicadapitch.Unavailable,
	"the caller's connection ended", "finish work that may not be repeated")

// ErrCancelled is the cause of a handler's context that ended because the
// caller cancelled the call.
var ErrCancelled = cicadapitch.NewError(cicadapitch.Unavailable,
	"the caller cancelled the call", "stop the work")

const (
	// closingRetryAfter is the RetryAfter of calls to a host that is leaving.
	closingRetryAfter cicadapitch.Millis = 1000
	// dialRetryAfter is the RetryAfter of requests that were not sent.
	dialRetryAfter cicadapitch.Millis = 500
	// tooManyCallsRetryAfter is the RetryAfter of calls beyond the limit of a
	// connection.
	tooManyCallsRetryAfter cicadapitch.Millis = 100
)

var (
	errHeartbeatTimeout = cicadapitch.NewError(cicadapitch.Unavailable,
		"the connection went silent", "use a new connection")
	errControlQueueFull = cicadapitch.NewError(cicadapitch.Unavailable,
		"the peer does not read its connection", "use a new connection")
	errClosed = cicadapitch.NewError(cicadapitch.Unavailable,
		"the connection was closed", "use a new connection")
)

// notRun returns the error of a request that was never handed to a connection.
func notRun(address, name string, err error) error {
	return withCause(cicadapitch.NewNotRun(
		fmt.Sprintf("call %s to %s was not sent: %v", name, address, err), dialRetryAfter), err)
}

// outcomeUnknown returns the error of a sent request whose connection or caller
// ended before the response arrived.
func outcomeUnknown(address, name string, err error) error {
	return withCause(cicadapitch.NewOutcomeUnknown(
		fmt.Sprintf("call %s to %s has no response: %v", name, address, err)), err)
}

// withCause returns e and, if cause is context.Canceled, context.DeadlineExceeded or
// syscall.ECONNREFUSED, wraps that error too, so that errors.Is matches it.
func withCause(e *cicadapitch.Error, cause error) error {
	for _, known := range []error{context.Canceled, context.DeadlineExceeded, syscall.ECONNREFUSED} {
		if errors.Is(cause, known) {
			return fmt.Errorf("%w: %w", e, known)
		}
	}
	return e
}

// wireError converts a handler's error to the error that is sent to the caller.
// An untyped error becomes OutcomeUnknown if it is a context error, and
// Internal otherwise.
func wireError(err error) *cicadapitch.Error {
	if e := cicadapitch.AsError(err); e != nil {
		return e
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return cicadapitch.NewOutcomeUnknown("the handler was stopped: " + err.Error())
	}
	return cicadapitch.NewError(cicadapitch.Internal, err.Error(), "report this with the logs of the host")
}
