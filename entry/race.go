package entry

import (
	"context"
	"errors"
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// errOutrun marks the result of an attempt beside which another one already
// streams to the caller.
var errOutrun = errors.New("another attempt streams already")

// race is the attempts of one stage that run beside each other.
type race struct {
	*stageRun
	ctx         context.Context
	endings     chan ending
	outstanding []*dispatched
	slow        <-chan struct{}
	stalled     <-chan struct{}
}

// race runs one attempt, and a second one beside it where the first is slow.
// The first result counts, or the first chunk where the stage streams. It
// returns once ctx ends, whatever the runner does.
func (r *stageRun) race(ctx context.Context) (cicadapitch.StageResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &race{stageRun: r, ctx: ctx, endings: make(chan ending, maxOutstanding)}
	r.begin()
	first, err := r.dispatch(ctx, c.endings)
	if err != nil {
		return cicadapitch.StageResult{}, err
	}
	c.outstanding = []*dispatched{first}
	c.slow = r.slow(ctx)
	return c.run()
}

func (c *race) run() (cicadapitch.StageResult, error) {
	defer c.abandonAll()
	led := c.led
	for {
		select {
		case e := <-c.endings:
			if e.attempt.over.Load() {
				continue
			}
			res, err := c.take(e)
			if err == nil || len(c.outstanding) == 0 {
				return res, err
			}
		case <-led:
			led = nil
			c.follow()
		case <-c.slow:
			c.slow = nil
			c.hedge()
		case <-c.stalled:
			return cicadapitch.StageResult{}, c.giveUp()
		case <-c.ctx.Done():
			return cicadapitch.StageResult{}, ended(c.ctx, nil)
		}
	}
}

// take ends an attempt that has come back.
func (c *race) take(e ending) (cicadapitch.StageResult, error) {
	c.outstanding = slices.DeleteFunc(c.outstanding, func(f *dispatched) bool { return f == e.attempt })
	return c.end(c.ctx, e)
}

// follow ends all attempts but the one that streams, and watches that.
func (c *race) follow() {
	lead := c.lead.Load()
	for _, f := range c.outstanding {
		if f != lead {
			c.abandon(f)
		}
	}
	c.outstanding = slices.DeleteFunc(c.outstanding, func(f *dispatched) bool { return f != lead })
	c.slow = nil
	if len(c.outstanding) > 0 {
		c.stalled = c.watch(c.ctx, lead)
	}
}

// giveUp ends the attempt whose stream has stalled, so that the next one
// resumes it.
func (c *race) giveUp() error {
	err := cicadapitch.NewOutcomeUnknown("the stream of the attempt has stalled")
	for _, f := range c.outstanding {
		c.abandon(f)
		c.fail(f, err)
	}
	c.outstanding = nil
	return err
}

func (c *race) abandonAll() {
	for _, f := range c.outstanding {
		c.abandon(f)
	}
}

// hedge starts a second attempt at another shard where the budget allows it.
func (c *race) hedge() {
	if !c.s.budget.Withdraw() {
		return
	}
	c.avoid = append(c.avoid, c.shard.Shard)
	f, err := c.dispatch(c.ctx, c.endings)
	if err != nil {
		return
	}
	c.s.metrics.Hedged(c.stage.ID)
	c.outstanding = append(c.outstanding, f)
}

// slow returns a channel that is closed once the attempt takes longer than
// almost all do to its end, or to its first chunk where it streams. It returns
// nil where the attempt may not be hedged.
func (r *stageRun) slow(ctx context.Context) <-chan struct{} {
	if !r.stage.Idempotent || r.delivered != "" {
		return nil
	}
	return r.after(ctx, r.tail())
}

func (r *stageRun) tail() cicadapitch.Millis {
	if r.stage.Streams {
		return max(r.s.firsts.of(r.stage).TailMillis(), r.rec.pipeline.FirstToken)
	}
	return r.s.estimates.of(r.stage).TailMillis()
}

func (r *stageRun) after(ctx context.Context, m cicadapitch.Millis) <-chan struct{} {
	ch := make(chan struct{})
	go func() {
		if r.s.clock.Sleep(ctx, m) == nil {
			close(ch)
		}
	}()
	return ch
}

// watch returns a channel that is closed once a stream brings no further chunk,
// or nil where the stage may not be run again.
func (r *stageRun) watch(ctx context.Context, f *dispatched) <-chan struct{} {
	span := pipeline.StallTimeout(r.rec.pipeline)
	if span == 0 || !r.stage.Idempotent {
		return nil
	}
	ch := make(chan struct{})
	go func() {
		for last := -1; ; {
			if r.s.clock.Sleep(ctx, span) != nil {
				return
			}
			n := f.gather.count()
			if n == last {
				close(ch)
				return
			}
			last = n
		}
	}()
	return ch
}
