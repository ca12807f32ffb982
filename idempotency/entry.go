package idempotency

import (
	"container/list"
	"context"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// Outcome is the state of a request that may run at most once.
type Outcome struct {
	Phase cicadapitch.AttemptPhase
	// Answer is set if Phase is Done.
	Answer *cicadapitch.Answer
	// Error is set if Phase is Failed or Refused.
	Error *cicadapitch.Error
}

// Entry is the record of one request in a Ledger.
type Entry struct {
	shard *ledgerShard
	id    digest
	// reusable is true if the key may be used again after the request was
	// refused before any work that must not be repeated had started.
	reusable bool
	// issuedAt is when the token was minted or the idempotency key was claimed.
	issuedAt cicadapitch.Instant
	// done is closed once the request has ended.
	done chan struct{}

	mu      sync.Mutex
	outcome Outcome

	// The lock of the ledger's shard guards the fields below. They are the
	// positions of the entry in the shard's lists and the size of its answer.
	orderElement  *list.Element
	answerElement *list.Element
	bytes         cicadapitch.Bytes
}

// Finish records the answer or error of the request. A NotRun or
// DeadlineExceeded error means that no work which must not be repeated has
// started. The caller may then use an idempotency key again. A token stays
// used, so that a copy of the request that arrives late cannot run after its
// caller received NotRun.
func (e *Entry) Finish(a cicadapitch.Answer, err error) {
	if err == nil {
		e.complete(Outcome{Phase: cicadapitch.Done, Answer: &a})
		e.shard.keepAnswer(e, cicadapitch.Bytes(len(a.Output)))
		return
	}
	failure := asError(err)
	phase := cicadapitch.Failed
	if mayRepeatAfter(failure.Kind) {
		phase = cicadapitch.Refused
		failure = e.releaseRefused(failure)
	}
	e.complete(Outcome{Phase: phase, Error: failure})
}

// releaseRefused removes the entry from the ledger if its key may be used again.
// It returns the error with a Remedy that says how to send the request again.
func (e *Entry) releaseRefused(err *cicadapitch.Error) *cicadapitch.Error {
	refused := *err
	if e.reusable {
		e.shard.release(e)
		refused.Remedy = "send the request again with the same idempotency key"
		return &refused
	}
	refused.Remedy = "send the request again with a new token"
	return &refused
}

// Wait waits until the request has ended and returns its answer or error. If
// ctx ends first, it returns an OutcomeUnknown error.
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

// Outcome returns the current state of the request.
func (e *Entry) Outcome() Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.outcome
}

// dropAnswer replaces the answer by an OutcomeUnknown error, to free its
// memory.
func (e *Entry) dropAnswer() {
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

// refuse ends a request that has not arrived yet, so that it never runs.
func (e *Entry) refuse() {
	err := cicadapitch.NewError(cicadapitch.NotRun,
		"the outcome was asked for before the request came, so it will not run", "send the request with a new token")
	e.complete(Outcome{Phase: cicadapitch.Refused, Error: err})
}

// complete sets the final outcome and unblocks Wait. Later calls have no
// effect.
func (e *Entry) complete(o Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.finished() {
		return
	}
	e.outcome = o
	close(e.done)
}

// mayRepeatAfter reports whether a request may be sent again after an error of the
// kind: the error means that no work which must not be repeated has started.
func mayRepeatAfter(kind cicadapitch.Kind) bool {
	return kind == cicadapitch.NotRun || kind == cicadapitch.DeadlineExceeded
}

// asError returns err as an Error, of kind OutcomeUnknown if it is another
// type.
func asError(err error) *cicadapitch.Error {
	if e := cicadapitch.AsError(err); e != nil {
		return e
	}
	return cicadapitch.NewOutcomeUnknown(err.Error())
}
