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
	// started counts the attempts that may have started.
	started int
	// nonIdempotent counts those of them that may not be repeated, except the
	// ones that their endpoint declined.
	nonIdempotent int
	reports       []cicadapitch.StageReport
}

// countStarted counts an attempt as possibly started. It must be called before
// the attempt is sent.
func (r *requestRun) countStarted(idempotent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	if !idempotent {
		r.nonIdempotent++
	}
}

// uncountStarted reverts countStarted for an attempt that did not start and never
// will.
func (r *requestRun) uncountStarted(idempotent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started--
	if !idempotent {
		r.nonIdempotent--
	}
}

// countDeclined removes a non-idempotent attempt that its endpoint has declined
// from nonIdempotent.
func (r *requestRun) countDeclined() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nonIdempotent--
}

// callerError returns the error that the caller gets for err. It is NotRun only
// if no attempt can have started. It is OutcomeUnknown whenever work that may not
// be repeated may have run and the caller does not get its answer.
func (r *requestRun) callerError(err error) *cicadapitch.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := cicadapitch.AsError(err)
	if e == nil {
		e = cicadapitch.NewError(cicadapitch.Internal, err.Error(), "")
	}
	switch {
	case pipeline.Permanent(e.Kind) && r.nonIdempotent == 0:
		return e
	case r.nonIdempotent > 0:
		return cicadapitch.NewOutcomeUnknown("the request ended after work that may not be repeated had begun: " + e.Reason)
	case r.started > 0:
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
