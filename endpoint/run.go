package endpoint

import (
	"context"
	"errors"
	"strings"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// Run runs the attempt on one endpoint of its shard and passes the output to
// sink in chunks as it arrives. A second Run with the same attempt id waits for
// the first: it returns the same result but passes no chunks to its sink.
//
// A NotRun or Redirected error means that the attempt has not started and never
// will. When ctx ends, an idempotent call is canceled; a call that is not
// idempotent continues, and Outcome returns its state.
func (o *Owner) Run(ctx context.Context, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, error) {
	record, isNew := o.ledger.begin(o.clock.Now(), a.ID)
	if !isNew {
		return o.await(ctx, record, a)
	}
	r := &run{owner: o, attempt: a, arrived: o.clock.Now(), chunks: &chunkSender{attempt: a.ID, sink: sink}}
	if !o.beginAttempt() {
		return r.complete(cicadapitch.StageResult{}, redirectedError("this host is stopping"))
	}
	go r.execute(ctx)
	res, err := o.await(ctx, record, a)
	r.chunks.close()
	return res, err
}

// await waits for the final state of an attempt. If ctx ends while a call that
// is not idempotent runs, await returns OutcomeUnknown and the call continues.
// In all other cases await continues to wait. The context of the first Run cancels
// the attempt, which then completes soon; the context of a later Run does not.
func (o *Owner) await(ctx context.Context, record *attemptRecord, a cicadapitch.Attempt) (cicadapitch.StageResult, error) {
	select {
	case <-record.done:
	case <-ctx.Done():
		started := record.started
		if a.Idempotent {
			started = nil
		}
		select {
		case <-record.done:
		case <-started:
			return cicadapitch.StageResult{}, cicadapitch.NewOutcomeUnknown("the attempt was given up while it ran")
		}
	}
	state := o.ledger.finalState(record, a.ID)
	switch {
	case state.Result != nil:
		return *state.Result, nil
	case state.Error != nil:
		return cicadapitch.StageResult{}, state.Error
	default:
		return cicadapitch.StageResult{}, cicadapitch.NewNotRun("the attempt was refused before it arrived", 1)
	}
}

// run is the execution of one attempt.
type run struct {
	owner   *Owner
	attempt cicadapitch.Attempt
	arrived cicadapitch.Instant
	chunks  *chunkSender
}

// execute runs the attempt to its end and records the final state.
func (r *run) execute(ctx context.Context) {
	defer r.owner.endAttempt()
	_, _ = r.complete(r.runOnShard(ctx))
}

// complete records the final state of the attempt and returns its result or
// error.
func (r *run) complete(res cicadapitch.StageResult, err error) (cicadapitch.StageResult, error) {
	state := cicadapitch.AttemptState{Attempt: r.attempt.ID, Phase: cicadapitch.Done}
	if err == nil {
		state.Result = &res
	} else {
		state.Error = toError(err)
		state.Phase = finalPhase(state.Error.Kind)
	}
	r.owner.ledger.complete(r.owner.clock.Now(), state)
	if state.Error != nil {
		return res, state.Error
	}
	return res, nil
}

// runOnShard submits the attempt to its shard, waits for a slot and makes the
// call. If the endpoint declines the call, the shard queues the attempt again and
// runOnShard waits for the next slot.
func (r *run) runOnShard(ctx context.Context) (cicadapitch.StageResult, error) {
	o := r.owner
	s, ok := o.ownedShard(r.attempt.Shard)
	if !ok {
		return cicadapitch.StageResult{}, redirectedError("another host owns the shard")
	}
	ch, ok := s.submit(o.clock.Now(), NewJob(r.attempt, r.arrived))
	if !ok {
		return cicadapitch.StageResult{}, redirectedError("another host owns the shard")
	}
	for {
		c := r.awaitCommand(ctx, s, ch)
		if c.Action == Refuse {
			return cicadapitch.StageResult{}, refusalError(c)
		}
		res, outcome, err := r.call(ctx, s, c)
		ch = s.finish(o.clock.Now(), CallEnd{Attempt: r.attempt.ID, Outcome: outcome, Tokens: res.Tokens})
		if outcome != Declined {
			res.Load = s.load(o.clock.Now())
			return res, err
		}
	}
}

// awaitCommand waits for the command for the attempt. If ctx ends first, it
// withdraws the attempt, so that a command follows at once.
func (r *run) awaitCommand(ctx context.Context, s *shard, ch <-chan Command) Command {
	select {
	case c := <-ch:
		return c
	case <-ctx.Done():
		s.withdraw(r.owner.clock.Now(), r.attempt.ID)
		return <-ch
	}
}

// call carries out a Start command. It verifies right before the call that this
// host still owns the shard under the same fencing number.
func (r *run) call(ctx context.Context, s *shard, c Command) (cicadapitch.StageResult, CallOutcome, error) {
	o := r.owner
	pool, driver, err := o.poolAndDriver(r.attempt.Pool)
	if err != nil {
		return cicadapitch.StageResult{}, Unstarted, err
	}
	remaining := r.attempt.Remaining - o.clock.Now().Sub(r.arrived)
	if remaining <= 0 || ctx.Err() != nil {
		return cicadapitch.StageResult{}, Unstarted, cicadapitch.NewNotRun("the attempt was given up before it started", 1)
	}
	callCtx, cancel := r.callContext(ctx, remaining)
	defer cancel()
	fencing, owned := o.fencingOf(r.attempt.Shard)
	if !owned || fencing != s.fencing {
		return cicadapitch.StageResult{}, Unstarted, redirectedError("another host took the shard over")
	}
	if err := o.guard.admit(o.clock.Now(), r.attempt); err != nil {
		return cicadapitch.StageResult{}, Unstarted, err
	}
	o.ledger.markRunning(r.attempt.ID)
	startedAt := o.clock.Now()
	var firstTextAt cicadapitch.Instant
	onText := func(text string) {
		now := o.clock.Now()
		s.progress(now, r.attempt.ID)
		r.chunks.send(text)
		if firstTextAt == 0 {
			firstTextAt = now
		}
		if now.Sub(firstTextAt) >= answerProofTime {
			o.guard.recordAnswer(now, r.attempt)
		}
	}
	res, err := r.callWithRepeats(callCtx, driver, r.newCall(c, pool, fencing, remaining), pool.RecognisesRepeats, onText)
	if err != nil {
		outcome := callOutcome(callCtx, err)
		r.endTrial(callCtx, driver, c.Endpoint, startedAt, outcome)
		return cicadapitch.StageResult{}, outcome, r.callError(callCtx, err)
	}
	o.guard.recordAnswer(o.clock.Now(), r.attempt)
	r.endTrial(callCtx, driver, c.Endpoint, startedAt, Succeeded)
	served := o.clock.Now().Sub(startedAt)
	return cicadapitch.StageResult{
		Attempt:  r.attempt.ID,
		Output:   res.Output,
		Endpoint: c.Endpoint.ID,
		Zone:     c.Endpoint.Zone,
		Queued:   c.Queued,
		Served:   served,
		Tokens:   res.Tokens,
		Cost:     pool.CostPerSlotSecond * cicadapitch.Cost(served) / cicadapitch.Cost(cicadapitch.Second),
	}, Succeeded, nil
}

// Limits of callWithRepeats.
const (
	// maxRepeats is the number of times that a call is repeated.
	maxRepeats = 3
	// firstRepeatDelay is the delay before the first repeat. It doubles before
	// each further one.
	firstRepeatDelay cicadapitch.Millis = 50
)

// callWithRepeats makes the call. If the outcome of a call that is not
// idempotent is unknown and the endpoint recognises repeats, the call is
// repeated with the same attempt id at the same endpoint, which returns the
// answer of the first run. If all repeats fail, callWithRepeats returns the
// error of the first call: the refusal of a repeat does not show that the first
// call did not run.
func (r *run) callWithRepeats(ctx context.Context, driver cicadapitch.Driver, call cicadapitch.Call, recognisesRepeats bool, sink func(string)) (cicadapitch.CallResult, error) {
	res, err := driver.Call(ctx, call, sink)
	if r.attempt.Idempotent || !recognisesRepeats {
		return res, err
	}
	for n := 0; n < maxRepeats && mayHaveRun(err); n++ {
		if r.owner.clock.Sleep(ctx, firstRepeatDelay<<n) != nil {
			break
		}
		repeated, repeatErr := driver.Call(ctx, call, func(string) {})
		if repeatErr == nil {
			return repeated, nil
		}
	}
	return res, err
}

// mayHaveRun reports whether a call that failed with err may have run.
func mayHaveRun(err error) bool {
	return err != nil && cicadapitch.KindOf(err) != cicadapitch.NotRun
}

// callContext returns a context with a timeout of remaining. The context of an
// idempotent call also ends when ctx ends.
func (r *run) callContext(ctx context.Context, remaining cicadapitch.Millis) (context.Context, context.CancelFunc) {
	if !r.attempt.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, remaining.Duration())
}

// newCall returns the call for a Start command. The call must end within
// remaining.
func (r *run) newCall(c Command, pool cicadapitch.Pool, fencing cicadapitch.FencingNumber, remaining cicadapitch.Millis) cicadapitch.Call {
	return cicadapitch.Call{
		Attempt:   r.attempt.ID,
		Customer:  r.attempt.Customer,
		Endpoint:  c.Endpoint,
		Model:     pool.Model,
		Input:     r.attempt.Input,
		Prefix:    r.attempt.Prefix,
		Resume:    r.attempt.Resume,
		MaxTokens: r.attempt.MaxTokens,
		Timeout:   remaining,
		Fencing:   fencing,
	}
}

// callError converts the error of a failed call into the error of the attempt.
// Any failure but NotRun of a call that is not idempotent becomes
// OutcomeUnknown.
func (r *run) callError(ctx context.Context, err error) error {
	kind := cicadapitch.KindOf(err)
	switch {
	case kind == cicadapitch.NotRun:
		return err
	case !r.attempt.Idempotent:
		return cicadapitch.NewOutcomeUnknown(err.Error())
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return cicadapitch.NewError(cicadapitch.DeadlineExceeded,
			"the stage ran out of time", "send the request again with a longer deadline")
	case kind == cicadapitch.Internal:
		return cicadapitch.NewOutcomeUnknown(err.Error())
	default:
		return err
	}
}

// callOutcome returns the outcome of a call that ended with err.
func callOutcome(ctx context.Context, err error) CallOutcome {
	switch {
	case err == nil:
		return Succeeded
	case cicadapitch.KindOf(err) == cicadapitch.NotRun:
		return Declined
	case errors.Is(ctx.Err(), context.Canceled):
		return Canceled
	default:
		return Broken
	}
}

// refusalError returns the error for a Refuse command.
func refusalError(c Command) error {
	if c.Cause == Moved {
		return redirectedError("another host took the shard over")
	}
	e := cicadapitch.NewNotRun("attempt refused: "+strings.ToLower(c.Cause.String()), c.RetryAfter)
	e.Contended = c.Cause == Unreachable || c.Cause == Expired
	return e
}

func redirectedError(reason string) *cicadapitch.Error {
	return cicadapitch.NewError(cicadapitch.Redirected, reason, "send the attempt to the shard's owner")
}

// toError returns err as a cicadapitch.Error. Other errors become Internal.
func toError(err error) *cicadapitch.Error {
	if e := cicadapitch.AsError(err); e != nil {
		return e
	}
	return cicadapitch.NewError(cicadapitch.Internal, err.Error(), "report this fault with the host's log")
}

// finalPhase returns the phase of an attempt that ended with an error of kind k.
func finalPhase(k cicadapitch.Kind) cicadapitch.AttemptPhase {
	if k == cicadapitch.NotRun || k == cicadapitch.Redirected {
		return cicadapitch.Refused
	}
	return cicadapitch.Failed
}

// chunkSender numbers the chunks of an attempt and passes them to sink until it
// is closed.
type chunkSender struct {
	attempt cicadapitch.AttemptID
	mu      sync.Mutex
	sink    func(cicadapitch.Chunk)
	next    int
}

func (c *chunkSender) send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sink == nil {
		return
	}
	c.sink(cicadapitch.Chunk{Attempt: c.attempt, Index: c.next, Text: text})
	c.next++
}

// close makes later calls of send do nothing, since the caller of Run has
// returned.
func (c *chunkSender) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sink = nil
}
