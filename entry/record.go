package entry

import (
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// failedRetryMillis is when a caller may repeat idempotent work that failed.
const failedRetryMillis cicadapitch.Millis = 200

// record is the state of one request while it runs.
type record struct {
	work
	out *output

	mu sync.Mutex
	// started counts the attempts that may have started.
	started int
	// bound counts those of them that may not be repeated.
	bound   int
	reports []cicadapitch.StageReport
}

// open counts an attempt before it is sent.
func (r *record) open(idempotent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	if !idempotent {
		r.bound++
	}
}

// undo uncounts an attempt that did not start and never will.
func (r *record) undo(idempotent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started--
	if !idempotent {
		r.bound--
	}
}

// settle uncounts an attempt that may not be repeated and that its endpoint
// has definitely declined.
func (r *record) settle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bound--
}

// verdict returns the error for the caller. It says NotRun only if no attempt
// may have started, and OutcomeUnknown wherever work that may not be repeated
// may have run without the caller getting its answer.
func (r *record) verdict(err error) *cicadapitch.Error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := cicadapitch.AsError(err)
	if e == nil {
		e = cicadapitch.NewError(cicadapitch.Internal, err.Error(), "")
	}
	switch {
	case pipeline.Permanent(e.Kind) && r.bound == 0:
		return e
	case r.bound > 0:
		return cicadapitch.NewOutcomeUnknown("the request ended after work that may not be repeated had begun: " + e.Reason)
	case r.started > 0:
		return r.unfinished(e)
	case e.Kind == cicadapitch.NotRun && e.RetryAfter > 0:
		return e
	}
	return cicadapitch.NewNotRun(e.Reason, max(e.RetryAfter, failedRetryMillis))
}

func (r *record) unfinished(e *cicadapitch.Error) *cicadapitch.Error {
	return &cicadapitch.Error{
		Kind:       cicadapitch.DeadlineExceeded,
		Reason:     "the request ended before its answer was whole: " + e.Reason,
		Remedy:     "send the request again",
		RetryAfter: max(e.RetryAfter, failedRetryMillis),
	}
}

// report adds the report of a stage that has ended.
func (r *record) report(s cicadapitch.StageReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reports = append(r.reports, s)
}
