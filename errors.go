package cicadapitch

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// ErrorClass is the error class of all errors that this module wraps.
var ErrorClass = errs.Class("cicadapitch")

// Error is a typed error. Its message states the reason and the remedy.
type Error struct {
	Kind   Kind
	Reason string
	// Remedy is what the receiver can do, or empty.
	Remedy string
	// RetryAfter is how long to wait before a retry, or 0 if none is suggested.
	RetryAfter Millis
	// Owner is the shard's owner. It is set on Redirected errors if the owner
	// is known.
	Owner HostID
	// Contended is set on a NotRun error if the shard had too little capacity to
	// start the customer's work before the deadline of the work.
	Contended bool
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s: %s", e.Kind, e.Reason)
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	if e.RetryAfter > 0 {
		s += fmt.Sprintf(" (retry after %d ms)", e.RetryAfter)
	}
	return s
}

// NewError returns an error of the given kind.
func NewError(kind Kind, reason, remedy string) *Error {
	return &Error{Kind: kind, Reason: reason, Remedy: remedy}
}

// NewNotRun returns a NotRun error that asks for a retry after at least 1 ms.
func NewNotRun(reason string, retryAfter Millis) *Error {
	return &Error{
		Kind:       NotRun,
		Reason:     reason,
		Remedy:     "send the request again",
		RetryAfter: max(retryAfter, 1),
	}
}

// NewOutcomeUnknown returns an OutcomeUnknown error.
func NewOutcomeUnknown(reason string) *Error {
	return &Error{
		Kind:   OutcomeUnknown,
		Reason: reason,
		Remedy: "look up whether it took effect before sending a new request",
	}
}

// NewOutOfRange returns an Invalid error for a number of a message that is not from least to most.
func NewOutOfRange(field, value string, least, most int64) *Error {
	const maxQuoted = 40
	if len(value) > maxQuoted {
		value = value[:maxQuoted] + "..."
	}
	return NewError(Invalid, fmt.Sprintf("%s: %q is not a whole number from %d to %d", field, value, least, most),
		"send a number within these bounds")
}

// Wrap adds the module's error class and a stack trace to err. It returns nil if
// err is nil.
func Wrap(err error) error { return ErrorClass.Wrap(err) }

// KindOf returns the kind of the *Error in err's chain, or Internal if there is
// none. For a nil err it returns Internal too.
func KindOf(err error) Kind {
	if e := AsError(err); e != nil {
		return e.Kind
	}
	return Internal
}

// AsError returns the *Error in err's chain, or nil.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// WithRetryAfter returns a copy of e whose RetryAfter is m, at least 1 ms.
func (e *Error) WithRetryAfter(m Millis) *Error {
	clone := *e
	clone.RetryAfter = max(m, 1)
	return &clone
}
