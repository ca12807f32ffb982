package cicadapitch

import (
	"errors"
	"fmt"

	"github.com/zeebo/errs"
)

// Class marks every error that this module makes.
var Class = errs.Class("cicadapitch")

// Error is a typed error. Its message names the remedy.
type Error struct {
	Kind       Kind
	Reason     string
	Remedy     string
	RetryAfter Millis
	// Owner is set on Redirected errors where the owner is known.
	Owner HostID
	// Contended is set on NotRun errors of an owner whose shard has no room in
	// time for the customer's work.
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

// NewNotRun returns a NotRun error that says when to come back.
func NewNotRun(reason string, after Millis) *Error {
	return &Error{
		Kind:       NotRun,
		Reason:     reason,
		Remedy:     "send the request again",
		RetryAfter: max(after, 1),
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

// Wrap adds the module's class and a stack to err. It returns nil for nil.
func Wrap(err error) error { return Class.Wrap(err) }

// KindOf returns the kind of err, or Internal where err carries none.
func KindOf(err error) Kind {
	if e := AsError(err); e != nil {
		return e.Kind
	}
	return Internal
}

// AsError returns the *Error within err, or nil.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// WithRetryAfter returns a copy of the error that says when to come back.
func (e *Error) WithRetryAfter(m Millis) *Error {
	c := *e
	c.RetryAfter = max(m, 1)
	return &c
}
