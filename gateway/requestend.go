package gateway

import (
	"context"
	"errors"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=requestEnd -trimprefix=endedBy -output=requestend_enumer.go

// requestEnd says what ended a request.
type requestEnd int

const (
	// endedByAnswer means that the whole answer was sent to the caller.
	endedByAnswer requestEnd = iota
	// endedByRejection means that this host rejected the request, which has not run.
	endedByRejection
	// endedByEndpoint means that no endpoint gave a whole answer.
	endedByEndpoint
	// endedByCaller means that the caller disconnected.
	endedByCaller
	// endedByDeadline means that the time of the request was over.
	endedByDeadline
	// endedByStop means that this host is stopping.
	endedByStop
)

// endOf returns what ended the request with an error, or with a whole answer if err is nil.
func (p *proxiedRequest) endOf(ctx context.Context, err error) requestEnd {
	cause := context.Cause(ctx)
	switch {
	case err == nil:
		return endedByAnswer
	case errors.Is(err, errStopping) || errors.Is(cause, errStopping) || errors.Is(cause, errGivenUp):
		return endedByStop
	case errors.Is(cause, errDeadline):
		return endedByDeadline
	case cause != nil || errors.Is(err, errNotRelayed):
		return endedByCaller
	case p.mayHaveRun:
		return endedByEndpoint
	}
	return endedByRejection
}
