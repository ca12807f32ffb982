package gateway

import (
	"context"
	"errors"

	"cicadapitch.example/cicadapitch/platform"
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
	// endedByMemory means that this host needed the memory of the request, whose caller or endpoint was slow.
	endedByMemory
)

// endOf returns what ended the request with an error, or with a whole answer if err is nil.
func (p *proxiedRequest) endOf(ctx context.Context, err error) requestEnd {
	cause := context.Cause(ctx)
	givenUp := p.answer.Hold().Err()
	switch {
	case err == nil:
		return endedByAnswer
	case errors.Is(givenUp, platform.ErrShed) || errors.Is(err, platform.ErrNoMemory):
		return endedByMemory
	case errors.Is(err, errStopping) || errors.Is(cause, errStopping) || errors.Is(cause, errGivenUp):
		return endedByStop
	case errors.Is(cause, errDeadline) || errors.Is(err, platform.ErrTimeOver):
		return endedByDeadline
	case cause != nil || errors.Is(err, errNotRelayed):
		return endedByCaller
	case p.mayHaveRun:
		return endedByEndpoint
	}
	return endedByRejection
}
