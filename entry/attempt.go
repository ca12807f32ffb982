package entry

import (
	"context"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// maxOutstanding bounds the attempts of one stage that run at the same time.
const maxOutstanding = 2

// dispatched is one attempt that has been sent to the owner of its shard.
type dispatched struct {
	attempt cicadapitch.Attempt
	owner   cicadapitch.Member
	gather  *gatherer
	cancel  context.CancelFunc
	sent    cicadapitch.Instant
	// before counts the chunks of the text that the attempt resumes from.
	before int
	// over is set once the result is no longer awaited.
	over atomic.Bool
}

// ending is how an attempt ended.
type ending struct {
	attempt *dispatched
	result  cicadapitch.StageResult
	err     error
}

// dispatch sends a new attempt to the owner of a shard.
func (r *stageRun) dispatch(ctx context.Context, endings chan<- ending) (*dispatched, error) {
	budget, limit := r.s.split(r.rec, r.index)
	if limit <= 0 {
		return nil, cicadapitch.NewNotRun("the deadline has passed", 1)
	}
	owner, err := r.target(budget)
	if err != nil {
		return nil, err
	}
	f := &dispatched{attempt: r.describe(limit), owner: owner, before: r.chunks}
	f.sent = r.s.clock.Now()
	f.gather = newGatherer(f.attempt.ID, func(c cicadapitch.Chunk) { r.deliver(f, c) }, r.s.metrics.Dropped)
	ctx, f.cancel = context.WithCancel(ctx)
	r.rec.open(r.stage.Idempotent)
	r.s.router.begin(f.attempt.Shard)
	go r.send(ctx, f, endings)
	return f, nil
}

func (r *stageRun) send(ctx context.Context, f *dispatched, endings chan<- ending) {
	res, err := r.s.runner.Run(ctx, f.owner, f.attempt, f.gather.take)
	if err == nil && f.over.Load() {
		r.s.metrics.Dropped(DroppedLate)
	}
	endings <- ending{attempt: f, result: res, err: err}
}

// target picks the shard of the next attempt and its owner.
func (r *stageRun) target(budget cicadapitch.Millis) (cicadapitch.Member, error) {
	if owner := r.owner; owner != nil {
		r.owner = nil
		return *owner, nil
	}
	c, ok := r.s.choose(r.rec, r.stage, pipeline.ShardQuery{Budget: budget, Avoid: r.avoid})
	if !ok {
		return cicadapitch.Member{}, cicadapitch.NewNotRun(
			"no endpoint of the pool "+string(r.stage.Pool)+" is in service", cicadapitch.Second)
	}
	owner, ok := r.s.owners.Owner(c.Shard)
	if !ok {
		r.avoid = append(r.avoid, c.Shard)
		return cicadapitch.Member{}, cicadapitch.NewNotRun("no host owns the shard "+string(c.Shard), cicadapitch.Second)
	}
	r.shard = c
	return owner, nil
}

func (r *stageRun) describe(limit cicadapitch.Millis) cicadapitch.Attempt {
	r.number++
	return cicadapitch.Attempt{
		ID:         cicadapitch.AttemptID{Request: r.rec.id, Stage: r.stage.ID, Number: r.number},
		Entry:      r.s.members.Self().Host,
		Customer:   r.rec.req.Customer,
		Pipeline:   r.rec.req.Pipeline,
		Pool:       r.stage.Pool,
		Shard:      r.shard.Shard,
		Input:      r.input,
		Prefix:     r.rec.req.Prefix,
		MaxTokens:  r.stage.MaxTokens,
		Idempotent: r.stage.Idempotent,
		Streams:    r.stage.Streams,
		Remaining:  limit,
		Resume:     r.delivered,
		Share:      r.rec.share,
	}
}

// begin prepares the stage for a further race.
func (r *stageRun) begin() {
	r.lead.Store(nil)
	r.led = make(chan struct{})
}

// deliver passes a chunk to the caller. Only the first attempt of a race that
// brings a chunk streams.
func (r *stageRun) deliver(f *dispatched, c cicadapitch.Chunk) {
	if !r.stage.Streams {
		return
	}
	if r.lead.CompareAndSwap(nil, f) {
		r.s.firsts.add(r.stage, r.s.clock.Now().Sub(f.sent))
		close(r.led)
	}
	if r.lead.Load() == f {
		r.rec.out.send(c)
	}
}

// end ends an attempt and returns the whole output of the stage, or an error
// that says whether the attempt may have started.
func (r *stageRun) end(ctx context.Context, e ending) (cicadapitch.StageResult, error) {
	f := e.attempt
	f.cancel()
	res, err := r.match(e)
	if err != nil && !r.stage.Idempotent {
		res, err = r.settle(ctx, f, err)
	}
	if err == nil {
		r.s.throttles.accepted(r.s.clock.Now(), r.rec.req.Customer, r.stage)
		r.s.router.end(f.attempt.Shard, &res.Load)
		return r.join(f, res)
	}
	r.noteRefusal(err)
	r.s.router.end(f.attempt.Shard, nil)
	r.fail(f, err)
	return cicadapitch.StageResult{}, err
}

// match drops a result that belongs to another attempt.
func (r *stageRun) match(e ending) (cicadapitch.StageResult, error) {
	if e.err != nil {
		return cicadapitch.StageResult{}, e.err
	}
	if e.result.Attempt != e.attempt.attempt.ID {
		r.s.metrics.Dropped(DroppedCrossed)
		return cicadapitch.StageResult{}, cicadapitch.NewOutcomeUnknown("the result of another attempt came")
	}
	return e.result, nil
}

// join puts the text that the attempt resumed from before its output. The
// output must begin with what the caller has got as chunks.
func (r *stageRun) join(f *dispatched, res cicadapitch.StageResult) (cicadapitch.StageResult, error) {
	if !f.gather.complete(res.Output) && r.stage.Streams {
		r.broken = true
		return cicadapitch.StageResult{}, cicadapitch.NewError(cicadapitch.Internal,
			"the chunks of the attempt are not the beginning of its result", "report the endpoint "+string(res.Endpoint))
	}
	if lead := r.lead.Load(); lead != nil && lead != f {
		return cicadapitch.StageResult{}, errOutrun
	}
	res.Output = f.attempt.Resume + res.Output
	return res, nil
}

// fail keeps what a failed attempt brought, so that the next attempt resumes
// there, and avoids its shard from then on.
func (r *stageRun) fail(f *dispatched, err error) {
	kind := cicadapitch.KindOf(err)
	text, n := f.gather.close()
	if whole := f.attempt.Resume + text; r.stage.Idempotent && len(whole) > len(r.delivered) {
		r.delivered = whole
		r.chunks = f.before + n
	}
	if kind != cicadapitch.Redirected || r.lost(err) {
		r.avoid = append(r.avoid, f.attempt.Shard)
	}
	switch {
	case pipeline.NotStarted(kind):
		r.rec.undo(r.stage.Idempotent)
	case pipeline.Permanent(kind) && !r.stage.Idempotent:
		r.rec.settle()
	}
}

// abandon ends an attempt whose result is no longer awaited.
func (r *stageRun) abandon(f *dispatched) {
	f.over.Store(true)
	f.cancel()
	f.gather.close()
	r.s.router.end(f.attempt.Shard, nil)
}
