package entry

import (
	"context"
	"errors"
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// errOtherAttemptStreams is the error of an attempt that returned a result
// although another attempt of the stage already streams to the caller.
var errOtherAttemptStreams = errors.New("another attempt streams already")

// concurrentAttempts is the state of the attempts of one stage that run
// concurrently.
type concurrentAttempts struct {
	*stageRun
	ctx         context.Context
	results     chan attemptResult
	outstanding []*sentAttempt
	hedgeDue    <-chan struct{}
	stalled     <-chan struct{}
}

// runAttempts runs one attempt and hedges it with a second one if the first is slow.
// It returns the first result or, if the stage streams, the result of the attempt
// whose first chunk arrived first. It returns once ctx ends, even if the runner
// does not.
func (r *stageRun) runAttempts(ctx context.Context) (cicadapitch.StageResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c := &concurrentAttempts{stageRun: r, ctx: ctx, results: make(chan attemptResult, maxOutstanding)}
	r.resetStream()
	first, err := r.startAttempt(ctx, c.results)
	if err != nil {
		return cicadapitch.StageResult{}, err
	}
	c.outstanding = []*sentAttempt{first}
	c.hedgeDue = r.startHedgeTimer(ctx)
	return c.awaitResult()
}

// awaitResult handles results, timers and the start of the stream until an attempt
// has a result or no attempt is left.
func (c *concurrentAttempts) awaitResult() (cicadapitch.StageResult, error) {
	defer c.abandonAll()
	streamStarted := c.streamStarted
	for {
		select {
		case ar := <-c.results:
			if ar.sent.abandoned.Load() {
				continue
			}
			res, err := c.handleResult(ar)
			if err == nil || len(c.outstanding) == 0 {
				return res, err
			}
		case <-streamStarted:
			streamStarted = nil
			c.abandonOthers()
		case <-c.hedgeDue:
			c.hedgeDue = nil
			c.hedge()
		case <-c.stalled:
			if c.reserveRetry() {
				return cicadapitch.StageResult{}, c.failStalled()
			}
			// The engine may go on.
			c.stalled = c.watchStall(c.ctx, c.streaming.Load())
		case <-c.ctx.Done():
			return cicadapitch.StageResult{}, contextError(c.ctx, nil)
		}
	}
}

// handleResult completes an attempt that has returned.
func (c *concurrentAttempts) handleResult(ar attemptResult) (cicadapitch.StageResult, error) {
	c.outstanding = slices.DeleteFunc(c.outstanding, func(a *sentAttempt) bool { return a == ar.sent })
	return c.finishAttempt(c.ctx, ar)
}

// abandonOthers abandons all attempts except the one that streams to the
// caller, and starts to watch that stream for a stall.
func (c *concurrentAttempts) abandonOthers() {
	streaming := c.streaming.Load()
	for _, a := range c.outstanding {
		if a != streaming {
			c.abandon(a)
		}
	}
	c.outstanding = slices.DeleteFunc(c.outstanding, func(a *sentAttempt) bool { return a != streaming })
	c.hedgeDue = nil
	if len(c.outstanding) > 0 {
		c.stalled = c.watchStall(c.ctx, streaming)
	}
}

// reserveRetry reports whether another attempt may follow one whose stream has stalled, and takes
// its token of the retry budget.
func (c *concurrentAttempts) reserveRetry() bool {
	left := c.request.deadline.Sub(c.server.clock.Now())
	_, step := pipeline.DecideRetry(c.attemptCounts, cicadapitch.OutcomeUnknown, left, 0)
	if step.Action != pipeline.Retry {
		return false
	}
	if _, ok := c.server.chooseShard(c.request, c.stage, pipeline.ShardQuery{Avoid: c.avoid}); !ok {
		return false
	}
	c.retryReserved = !step.NeedsBudget || c.server.budget.Withdraw()
	return c.retryReserved
}

// failStalled abandons the attempt whose stream has stalled, so that the next
// attempt resumes the stream.
func (c *concurrentAttempts) failStalled() error {
	err := cicadapitch.NewOutcomeUnknown("the stream of the attempt has stalled")
	for _, a := range c.outstanding {
		c.abandon(a)
		c.handleFailure(a, err)
	}
	c.outstanding = nil
	return err
}

func (c *concurrentAttempts) abandonAll() {
	for _, a := range c.outstanding {
		c.abandon(a)
	}
}

// hedge starts a second attempt at another shard if the retry budget allows it.
func (c *concurrentAttempts) hedge() {
	if !c.server.budget.Withdraw() {
		return
	}
	c.avoid = append(c.avoid, c.choice.Shard)
	a, err := c.startAttempt(c.ctx, c.results)
	if err != nil {
		return
	}
	c.server.metrics.Hedged(c.stage.ID)
	c.outstanding = append(c.outstanding, a)
}

// startHedgeTimer returns a channel that is closed after the hedge delay. It returns
// nil if the attempt must not be hedged, because the stage is not idempotent or
// the attempt resumes a stream.
func (r *stageRun) startHedgeTimer(ctx context.Context) <-chan struct{} {
	if !r.stage.Idempotent || r.resumeText != "" {
		return nil
	}
	return r.after(ctx, r.hedgeDelay())
}

// hedgeDelay returns the time within which almost all attempts of the stage return
// their result, or their first chunk if the stage streams. For a stage that streams
// it is at least the pipeline's target for the first token.
func (r *stageRun) hedgeDelay() cicadapitch.Millis {
	if r.stage.Streams {
		return max(r.server.firstChunkTimes.get(r.stage).TailMillis(), r.request.pipeline.FirstToken)
	}
	return r.server.serviceTimes.get(r.stage).TailMillis()
}

func (r *stageRun) after(ctx context.Context, m cicadapitch.Millis) <-chan struct{} {
	ch := make(chan struct{})
	go func() {
		if r.server.clock.Sleep(ctx, m) == nil {
			close(ch)
		}
	}()
	return ch
}

// watchStall returns a channel that is closed once no new chunk has arrived between
// two checks, which are the stall time of the pipeline apart. It returns nil if the
// pipeline has no stall time or the stage is not idempotent.
func (r *stageRun) watchStall(ctx context.Context, a *sentAttempt) <-chan struct{} {
	interval := pipeline.StallTimeout(r.request.pipeline)
	if interval == 0 || !r.stage.Idempotent {
		return nil
	}
	ch := make(chan struct{})
	go func() {
		for last := -1; ; {
			if r.server.clock.Sleep(ctx, interval) != nil {
				return
			}
			n := a.chunks.count()
			if n == last {
				close(ch)
				return
			}
			last = n
		}
	}()
	return ch
}
