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

// await waits for the final state of an attempt. An idempotent attempt ends
// soon after ctx does, so its true end is awaited.
func (o *Owner) await(ctx context.Context, e *entry, a cicadapitch.Attempt) (cicadapitch.StageResult, error) {
	done := ctx.Done()
	if a.Idempotent {
		done = nil
	}
	select {
	case <-e.done:
	case <-done:
		return cicadapitch.StageResult{}, cicadapitch.NewOutcomeUnknown("the attempt was given up while it ran")
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

// serve waits for a slot and makes the call.
func (r *run) serve(ctx context.Context) (cicadapitch.StageResult, error) {
	o := r.owner
	fencing, ok := o.holds(r.attempt.Shard)
	if !ok {
		return cicadapitch.StageResult{}, redirected("another host owns the shard")
	}
	s, ok := o.shard(r.attempt.Shard)
	if !ok || s.fencing != fencing {
		o.Gain(cicadapitch.Claim{Shard: r.attempt.Shard, Fencing: fencing})
		if s, ok = o.shard(r.attempt.Shard); !ok {
			return cicadapitch.StageResult{}, redirected("another host owns the shard")
		}
	}
	ch, ok := s.submit(o.clock.Now(), JobOf(r.attempt, r.arrived))
	if !ok {
		return cicadapitch.StageResult{}, redirected("another host owns the shard")
	}
	c := r.command(ctx, s, ch)
	if c.Action == Refuse {
		return cicadapitch.StageResult{}, refusal(c)
	}
	return r.call(ctx, s, c)
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

// call makes the call that a command asks for.
func (r *run) call(ctx context.Context, s *shard, c Command) (cicadapitch.StageResult, error) {
	o := r.owner
	end := CallEnd{Attempt: r.attempt.ID, Outcome: Declined}
	defer func() { s.finish(o.clock.Now(), end) }()
	fencing, held := o.holds(r.attempt.Shard)
	if !held || fencing != s.fencing {
		return cicadapitch.StageResult{}, redirected("another host took the shard over")
	}
	remaining := r.attempt.Remaining - o.clock.Now().Sub(r.arrived)
	if remaining <= 0 || ctx.Err() != nil {
		return cicadapitch.StageResult{}, cicadapitch.NewNotRun("the attempt was given up before it started", 1)
	}
	cfg := o.configurations.Current()
	pool, _ := cfg.Pool(r.attempt.Pool)
	driver := o.drivers[pool.Kind]
	if driver == nil {
		return cicadapitch.StageResult{}, cicadapitch.NewError(cicadapitch.Invalid,
			"no driver for the pool's kind", "correct the pool in the configuration")
	}
	callCtx, cancel := r.callContext(ctx, remaining)
	defer cancel()
	o.ledger.running(r.attempt.ID)
	began := o.clock.Now()
	res, err := driver.Call(callCtx, r.message(c, pool, fencing, remaining), r.out.text)
	end.Outcome = outcomeOf(callCtx, err)
	end.Tokens = res.Tokens
	if err != nil {
		return cicadapitch.StageResult{}, r.failure(callCtx, err)
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
		Load:     s.load(),
	}, nil
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
	return cicadapitch.NewNotRun("attempt refused: "+strings.ToLower(c.Cause.String()), c.RetryAfter)
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
