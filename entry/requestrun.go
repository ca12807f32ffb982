package entry

import (
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// failedRetryAfter is the minimum RetryAfter of failed requests that may be repeated.
const failedRetryAfter cicadapitch.Millis = 200

// requestRun is the state of one request while it runs.
type requestRun struct {
	resolvedRequest
	chunks *chunkSink

	mu sync.Mutex
	// maybeStarted is the number of attempts that may have started.
	maybeStarted int
	// maybeRunNonIdempotent is the number of attempts of non-idempotent stages
	// that may have run. It does not include attempts that their endpoint
	// rejected with a permanent error.
	maybeRunNonIdempotent int
	reports               []cicadapitch.StageReport
}

// countStarted counts an attempt as possibly started. It must be called before
// the attempt is sent.
func (r *requestRun) countStarted(idempotent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maybeStarted++
	if !idempotent {
		r.maybeRunNonIdempotent++
	}
}

// uncountStarted reverts countStarted for an attempt that did not start and never
// will.
func (r *requestRun) uncountStarted(idempotent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maybeStarted--
	if !idempotent {
		r.maybeRunNonIdempotent--
	}
}

// uncountRejected removes a non-idempotent attempt that its endpoint has rejected
// with a permanent error from maybeRunNonIdempotent.
func (r *requestRun) uncountRejected() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.maybeRunNonIdempotent--
}

// callerError returns the error that the caller gets for err. It is NotRun only
// if no attempt can have started. It is OutcomeUnknown whenever work that may not
// be repeated may have run and the caller does not get its answer. Otherwise a
// permanent error is returned as it is, and any other error of a request that has
// started becomes DeadlineExceeded.
func (r *requestRun) callerError(err error) *cicadapitch.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := cicadapitch.AsError(err)
	if e == nil {
		e = cicadapitch.NewError(cicadapitch.Internal, err.Error(), "")
	}
	switch {
	case pipeline.Permanent(e.Kind) && r.maybeRunNonIdempotent == 0:
		return e
	case r.maybeRunNonIdempotent > 0:
		return cicadapitch.NewOutcomeUnknown("the request ended after work that may not be repeated had begun: " + e.Reason)
	case r.maybeStarted > 0:
		return r.incompleteError(e)
	case e.Kind == cicadapitch.NotRun && e.RetryAfter > 0:
		return e
	}
	return cicadapitch.NewNotRun(e.Reason, max(e.RetryAfter, failedRetryAfter))
}

// incompleteError returns the error of a request that ended after a stage had
// started. The request may be repeated.
func (r *requestRun) incompleteError(e *cicadapitch.Error) *cicadapitch.Error {
	return &cicadapitch.Error{
		Kind:       cicadapitch.DeadlineExceeded,
		Reason:     "the request ended before its answer was whole: " + e.Reason,
		Remedy:     "send the request again",
		RetryAfter: max(e.RetryAfter, failedRetryAfter),
	}
}

// addReport adds the report of a stage that has ended.
func (r *requestRun) addReport(s cicadapitch.StageReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, s)
}
