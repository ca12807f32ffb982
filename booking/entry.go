package booking

import (
	"container/list"
	"context"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// Outcome is what became of a right to run.
type Outcome struct {
	Phase cicadapitch.AttemptPhase
	// Answer is set once Phase is Done.
	Answer *cicadapitch.Answer
	// Error is set once Phase is Failed or Refused.
	Error *cicadapitch.Error
}

// Entry is one right that has begun.
type Entry struct {
	ledger   *shard
	key      Key
	mintedAt cicadapitch.Instant
	done     chan struct{}

	mu      sync.Mutex
	outcome Outcome

	// The fields below belong to the lock of the ledger's shard.
	element *list.Element
	kept    *list.Element
	bytes   cicadapitch.Bytes
}

// Finish ends the run with its answer or error. A NotRun or DeadlineExceeded
// error means that nothing which may not be repeated has started; it returns
// the right, so that the same token may begin again.
func (e *Entry) Finish(a cicadapitch.Answer, err error) {
	if err == nil {
		e.conclude(Outcome{Phase: cicadapitch.Done, Answer: &a})
		e.ledger.keep(e, cicadapitch.Bytes(len(a.Output)))
		return
	}
	if repeatable(err) {
		e.ledger.release(e)
	}
	e.conclude(Outcome{Phase: cicadapitch.Failed, Error: errorOf(err)})
}

// Wait returns the answer or error of the run once it has ended. Where ctx ends
// first, it returns an OutcomeUnknown error.
func (e *Entry) Wait(ctx context.Context) (cicadapitch.Answer, error) {
	select {
	case <-e.done:
		return e.result()
	default:
	}
	select {
	case <-e.done:
		return e.result()
	case <-ctx.Done():
		return cicadapitch.Answer{}, cicadapitch.NewOutcomeUnknown("the request is still running")
	}
}

// Outcome returns what has become of the right so far.
func (e *Entry) Outcome() Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.outcome
}

// drop replaces an answer that no longer fits.
func (e *Entry) drop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	err := cicadapitch.NewOutcomeUnknown("the request has run, but its answer is no longer kept")
	e.outcome = Outcome{Phase: cicadapitch.Failed, Error: err}
}

func (e *Entry) finished() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

func (e *Entry) result() (cicadapitch.Answer, error) {
	o := e.Outcome()
	if o.Error != nil {
		return cicadapitch.Answer{}, o.Error
	}
	return *o.Answer, nil
}

func (e *Entry) refuse() {
	err := cicadapitch.NewError(cicadapitch.NotRun,
		"the outcome was asked for before the request came, so it will not run", "send the request with a new token")
	e.conclude(Outcome{Phase: cicadapitch.Refused, Error: err})
}

func (e *Entry) conclude(o Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.finished() {
		return
	}
	e.outcome = o
	close(e.done)
}

func repeatable(err error) bool {
	kind := cicadapitch.KindOf(err)
	return kind == cicadapitch.NotRun || kind == cicadapitch.DeadlineExceeded
}

func errorOf(err error) *cicadapitch.Error {
	if e := cicadapitch.AsError(err); e != nil {
		return e
	}
	return cicadapitch.NewOutcomeUnknown(err.Error())
}
