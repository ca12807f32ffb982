package endpoint

import (
	"context"
	"errors"
	"strings"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// Run runs the attempt on one endpoint of its shard and passes on the output
// as it comes. A second Run of the same id joins the first: it gets the result
// but no chunks.
//
// A NotRun or Redirected error means that the attempt did not start and never
// will. When ctx ends, an idempotent call is canceled; a call that may not be
// repeated runs on, and Outcome tells what became of it.
func (o *Owner) Run(ctx context.Context, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, error) {
	e, fresh := o.ledger.begin(o.clock.Now(), a.ID)
	if !fresh {
		return o.await(ctx, e, a)
	}
	r := &run{owner: o, attempt: a, arrived: o.clock.Now(), out: &outlet{attempt: a.ID, sink: sink}}
	if !o.enter() {
		return r.settle(cicadapitch.StageResult{}, redirected("this host is stopping"))
	}
	go r.execute(ctx)
	res, err := o.await(ctx, e, a)
	r.out.close()
	return res, err
}

// await waits for the final state of an attempt. After ctx has ended, a call
// that may not be repeated is not waited for any longer; all else ends soon
// after ctx does.
func (o *Owner) await(ctx context.Context, e *entry, a cicadapitch.Attempt) (cicadapitch.StageResult, error) {
	select {
	case <-e.done:
	case <-ctx.Done():
		started := e.started
		if a.Idempotent {
			started = nil
		}
		select {
		case <-e.done:
		case <-started:
			return cicadapitch.StageResult{}, cicadapitch.NewOutcomeUnknown("the attempt was given up while it ran")
		}
	}
	state := o.ledger.final(e, a.ID)
	switch {
	case state.Result != nil:
		return *state.Result, nil
	case state.Error != nil:
		return cicadapitch.StageResult{}, state.Error
	default:
		return cicadapitch.StageResult{}, cicadapitch.NewNotRun("the attempt was refused before it arrived", 1)
	}
}

// run is one attempt on its way through its shard.
type run struct {
	owner   *Owner
	attempt cicadapitch.Attempt
	arrived cicadapitch.Instant
	out     *outlet
}

func (r *run) execute(ctx context.Context) {
	defer r.owner.leave()
	_, _ = r.settle(r.serve(ctx))
}

// settle records the end of the attempt.
func (r *run) settle(res cicadapitch.StageResult, err error) (cicadapitch.StageResult, error) {
	state := cicadapitch.AttemptState{Attempt: r.attempt.ID, Phase: cicadapitch.Done}
	if err == nil {
		state.Result = &res
	} else {
		state.Error = asError(err)
		state.Phase = phaseOf(state.Error.Kind)
	}
	r.owner.ledger.settle(r.owner.clock.Now(), state)
	if state.Error != nil {
		return res, state.Error
	}
	return res, nil
}

// serve waits for a slot and makes the call. An endpoint that declines the
// call sends the attempt back to the queue.
func (r *run) serve(ctx context.Context) (cicadapitch.StageResult, error) {
	o := r.owner
	s, ok := o.held(r.attempt.Shard)
	if !ok {
		return cicadapitch.StageResult{}, redirected("another host owns the shard")
	}
	ch, ok := s.submit(o.clock.Now(), JobOf(r.attempt, r.arrived))
	if !ok {
		return cicadapitch.StageResult{}, redirected("another host owns the shard")
	}
	for {
		c := r.command(ctx, s, ch)
		if c.Action == Refuse {
			return cicadapitch.StageResult{}, refusal(c)
		}
		res, outcome, err := r.call(ctx, s, c)
		ch = s.finish(o.clock.Now(), CallEnd{Attempt: r.attempt.ID, Outcome: outcome, Tokens: res.Tokens})
		if outcome != Declined {
			res.Load = s.load(o.clock.Now())
			return res, err
		}
	}
}

func (r *run) command(ctx context.Context, s *shard, ch <-chan Command) Command {
	select {
	case c := <-ch:
		return c
	case <-ctx.Done():
		s.withdraw(r.owner.clock.Now(), r.attempt.ID)
		return <-ch
	}
}

// call makes the call that a command asks for, if this host still owns the
// shard.
func (r *run) call(ctx context.Context, s *shard, c Command) (cicadapitch.StageResult, CallOutcome, error) {
	o := r.owner
	pool, driver, err := o.route(r.attempt.Pool)
	if err != nil {
		return cicadapitch.StageResult{}, Unstarted, err
	}
	remaining := r.attempt.Remaining - o.clock.Now().Sub(r.arrived)
	if remaining <= 0 || ctx.Err() != nil {
		return cicadapitch.StageResult{}, Unstarted, cicadapitch.NewNotRun("the attempt was given up before it started", 1)
	}
	callCtx, cancel := r.callContext(ctx, remaining)
	defer cancel()
	fencing, held := o.holds(r.attempt.Shard)
	if !held || fencing != s.fencing {
		return cicadapitch.StageResult{}, Unstarted, redirected("another host took the shard over")
	}
	o.ledger.running(r.attempt.ID)
	began := o.clock.Now()
	sink := func(text string) {
		s.progress(o.clock.Now(), r.attempt.ID)
		r.out.text(text)
	}
	res, err := r.ask(callCtx, driver, r.message(c, pool, fencing, remaining), pool.RecognisesRepeats, sink)
	if err != nil {
		return cicadapitch.StageResult{}, outcomeOf(callCtx, err), r.failure(callCtx, err)
	}
	served := o.clock.Now().Sub(began)
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

// The number of times that a call with an unknown outcome is asked for again,
// and the pause before the first.
const (
	maxRepeats                     = 3
	repeatPause cicadapitch.Millis = 50
)

// ask makes the call. Where the endpoint recognises repeats, a call that may
// not be repeated and has failed is asked for again under the same attempt id
// at the same endpoint, which returns the first run's answer.
func (r *run) ask(ctx context.Context, d cicadapitch.Driver, m cicadapitch.Call, recognised bool, sink func(string)) (cicadapitch.CallResult, error) {
	res, err := d.Call(ctx, m, sink)
	if r.attempt.Idempotent || !recognised {
		return res, err
	}
	for n := 0; n < maxRepeats && unknown(err); n++ {
		if r.owner.clock.Sleep(ctx, repeatPause<<n) != nil {
			break
		}
		again, errAgain := d.Call(ctx, m, func(string) {})
		if errAgain == nil {
			return again, nil
		}
	}
	return res, err
}

func unknown(err error) bool {
	return err != nil && cicadapitch.KindOf(err) != cicadapitch.NotRun
}

// callContext ends when the attempt's time is up. An idempotent call also ends
// with the caller's context.
func (r *run) callContext(ctx context.Context, remaining cicadapitch.Millis) (context.Context, context.CancelFunc) {
	if !r.attempt.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, remaining.Duration())
}

func (r *run) message(c Command, pool cicadapitch.Pool, fencing cicadapitch.FencingNumber, remaining cicadapitch.Millis) cicadapitch.Call {
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

// failure returns the error of a call that failed.
func (r *run) failure(ctx context.Context, err error) error {
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

func outcomeOf(ctx context.Context, err error) CallOutcome {
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

func refusal(c Command) error {
	if c.Cause == Moved {
		return redirected("another host took the shard over")
	}
	e := cicadapitch.NewNotRun("attempt refused: "+strings.ToLower(c.Cause.String()), c.RetryAfter)
	e.Contended = c.Cause == Unreachable || c.Cause == Expired
	return e
}

func redirected(reason string) *cicadapitch.Error {
	return cicadapitch.NewError(cicadapitch.Redirected, reason, "send the attempt to the shard's owner")
}

func asError(err error) *cicadapitch.Error {
	if e := cicadapitch.AsError(err); e != nil {
		return e
	}
	return cicadapitch.NewError(cicadapitch.Internal, err.Error(), "report this fault with the host's log")
}

func phaseOf(k cicadapitch.Kind) cicadapitch.AttemptPhase {
	if k == cicadapitch.NotRun || k == cicadapitch.Redirected {
		return cicadapitch.Refused
	}
	return cicadapitch.Failed
}

// outlet numbers the chunks of an attempt and passes them on until it is
// closed.
type outlet struct {
	attempt cicadapitch.AttemptID
	mu      sync.Mutex
	sink    func(cicadapitch.Chunk)
	next    int
}

func (o *outlet) text(t string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.sink == nil {
		return
	}
	o.sink(cicadapitch.Chunk{Attempt: o.attempt, Index: o.next, Text: t})
	o.next++
}

func (o *outlet) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sink = nil
}
