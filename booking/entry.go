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
	ledger *shard
	id     digest
	// returns is true where the right can begin again after a run in which
	// nothing that may not be repeated has started.
	returns  bool
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
// error means that nothing which may not be repeated has started. The right of
// an idempotency key may then begin again. A token stays spent, so that a
// sending of it that arrives late cannot run after its caller was told NotRun.
func (e *Entry) Finish(a cicadapitch.Answer, err error) {
	if err == nil {
		e.conclude(Outcome{Phase: cicadapitch.Done, Answer: &a})
		e.ledger.keep(e, cicadapitch.Bytes(len(a.Output)))
		return
	}
	failure := errorOf(err)
	phase := cicadapitch.Failed
	if repeatable(failure.Kind) {
		phase = cicadapitch.Refused
		failure = e.giveBack(failure)
	}
	e.conclude(Outcome{Phase: phase, Error: failure})
}

// giveBack says with what the request may be sent again.
func (e *Entry) giveBack(err *cicadapitch.Error) *cicadapitch.Error {
	c := *err
	if e.returns {
		e.ledger.release(e)
		c.Remedy = "send the request again with the same idempotency key"
		return &c
	}
	c.Remedy = "send the request again with a new token"
	return &c
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

func repeatable(kind cicadapitch.Kind) bool {
	return kind == cicadapitch.NotRun || kind == cicadapitch.DeadlineExceeded
}

func errorOf(err error) *cicadapitch.Error {
	if e := cicadapitch.AsError(err); e != nil {
		return e
	}
	return cicadapitch.NewOutcomeUnknown(err.Error())
}
