package entry

import (
	"context"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// maxOutstanding bounds the attempts of one stage that run at the same time.
const maxOutstanding = 2

// sentAttempt is an attempt that has been sent to the owner of its shard.
type sentAttempt struct {
	attempt cicadapitch.Attempt
	owner   cicadapitch.Member
	chunks  *assembler
	cancel  context.CancelFunc
	sentAt  cicadapitch.Instant
	// chunksBefore is the number of chunks that make up attempt.Resume.
	chunksBefore int
	// abandoned is set once the result is no longer awaited.
	abandoned atomic.Bool
}

// attemptResult is the result or the error of an attempt.
type attemptResult struct {
	sent   *sentAttempt
	result cicadapitch.StageResult
	err    error
}

// startAttempt sends a new attempt to the owner of a shard. The result of the
// attempt is sent to results.
func (r *stageRun) startAttempt(ctx context.Context, results chan<- attemptResult) (*sentAttempt, error) {
	budget, limit := r.server.stageTime(r.request, r.index)
	if limit <= 0 {
		return nil, cicadapitch.NewNotRun("the deadline has passed", 1)
	}
	owner, err := r.chooseOwner(budget)
	if err != nil {
		return nil, err
	}
	a := &sentAttempt{attempt: r.newAttempt(limit), owner: owner, chunksBefore: r.resumeChunks}
	a.sentAt = r.server.clock.Now()
	a.chunks = newAssembler(a.attempt.ID, func(c cicadapitch.Chunk) { r.deliver(a, c) }, r.server.metrics.Dropped)
	ctx, a.cancel = context.WithCancel(ctx)
	r.request.countStarted(r.stage.Idempotent)
	r.server.shards.attemptSent(a.attempt.Shard)
	go r.send(ctx, a, results)
	return a, nil
}

func (r *stageRun) send(ctx context.Context, a *sentAttempt, results chan<- attemptResult) {
	res, err := r.server.runner.Run(ctx, a.owner, a.attempt, a.chunks.add)
	if err == nil && a.abandoned.Load() {
		r.server.metrics.Dropped(DropLate)
	}
	results <- attemptResult{sent: a, result: res, err: err}
}

// chooseOwner returns the host to which the next attempt is sent: the one that
// the last redirect named, or else the owner of a newly chosen shard.
func (r *stageRun) chooseOwner(budget cicadapitch.Millis) (cicadapitch.Member, error) {
	if owner := r.redirectOwner; owner != nil {
		r.redirectOwner = nil
		return *owner, nil
	}
	c, ok := r.server.chooseShard(r.request, r.stage, pipeline.ShardQuery{Budget: budget, Avoid: r.avoid})
	if !ok {
		return cicadapitch.Member{}, cicadapitch.NewNotRun(
			"no endpoint of the pool "+string(r.stage.Pool)+" is in service", cicadapitch.Second)
	}
	owner, ok := r.server.owners.Owner(c.Shard)
	if !ok {
		r.avoid = append(r.avoid, c.Shard)
		return cicadapitch.Member{}, cicadapitch.NewNotRun("no host owns the shard "+string(c.Shard), cicadapitch.Second)
	}
	r.choice = c
	return owner, nil
}

func (r *stageRun) newAttempt(limit cicadapitch.Millis) cicadapitch.Attempt {
	r.attempts++
	return cicadapitch.Attempt{
		ID:         cicadapitch.AttemptID{Request: r.request.id, Stage: r.stage.ID, Number: r.attempts},
		Entry:      r.server.members.Self().Host,
		Customer:   r.request.req.Customer,
		Pipeline:   r.request.req.Pipeline,
		Pool:       r.stage.Pool,
		Shard:      r.choice.Shard,
		Input:      r.input,
		Prefix:     r.request.req.Prefix,
		MaxTokens:  r.stage.MaxTokens,
		Idempotent: r.stage.Idempotent,
		Streams:    r.stage.Streams,
		Remaining:  limit,
		Resume:     r.resumeText,
		Share:      r.request.share,
	}
}

// resetStream forgets which attempt streams to the caller, so that a further attempt
// can stream.
func (r *stageRun) resetStream() {
	r.streaming.Store(nil)
	r.streamStarted = make(chan struct{})
}

// deliver passes a chunk to the caller if the stage streams and a is the first of
// the concurrent attempts that delivered a chunk.
func (r *stageRun) deliver(a *sentAttempt, c cicadapitch.Chunk) {
	if !r.stage.Streams {
		return
	}
	if r.streaming.CompareAndSwap(nil, a) {
		r.server.firstChunkTimes.add(r.stage, r.server.clock.Now().Sub(a.sentAt))
		close(r.streamStarted)
	}
	if r.streaming.Load() == a {
		r.request.chunks.send(c)
	}
}

// finishAttempt evaluates the result or error of an attempt. It resolves an unknown
// outcome of a non-idempotent attempt and updates the customer's throttle and the
// counts of the shard. It returns the whole output of the stage, or an error that
// says whether the attempt may have started.
func (r *stageRun) finishAttempt(ctx context.Context, ar attemptResult) (cicadapitch.StageResult, error) {
	a := ar.sent
	a.cancel()
	res, err := r.checkAttemptID(ar)
	if err != nil && !r.stage.Idempotent {
		res, err = r.resolveOutcome(ctx, a, err)
	}
	if err == nil {
		r.server.throttles.recordAccepted(r.server.clock.Now(), r.request.req.Customer, r.stage)
		r.server.shards.attemptEnded(a.attempt.Shard, &res.Load)
		return r.assembleOutput(a, res)
	}
	r.recordRefusal(err)
	r.server.shards.attemptEnded(a.attempt.Shard, nil)
	r.handleFailure(a, err)
	return cicadapitch.StageResult{}, err
}

// checkAttemptID returns an OutcomeUnknown error for a result that belongs to
// another attempt.
func (r *stageRun) checkAttemptID(ar attemptResult) (cicadapitch.StageResult, error) {
	if ar.err != nil {
		return cicadapitch.StageResult{}, ar.err
	}
	if ar.result.Attempt != ar.sent.attempt.ID {
		r.server.metrics.Dropped(DropWrongAttempt)
		return cicadapitch.StageResult{}, cicadapitch.NewOutcomeUnknown("the result of another attempt came")
	}
	return ar.result, nil
}

// assembleOutput returns the result with the whole output of the stage: the text
// that the attempt resumed from, followed by the output of the attempt. It returns
// an Internal error if the stage streams and the delivered chunks are not a prefix
// of the output, and errOtherAttemptStreams if another attempt streams to the
// caller.
func (r *stageRun) assembleOutput(a *sentAttempt, res cicadapitch.StageResult) (cicadapitch.StageResult, error) {
	if !a.chunks.finish(res.Output) && r.stage.Streams {
		r.streamCorrupt = true
		return cicadapitch.StageResult{}, cicadapitch.NewError(cicadapitch.Internal,
			"the chunks of the attempt are not the beginning of its result", "report the endpoint "+string(res.Endpoint))
	}
	if streaming := r.streaming.Load(); streaming != nil && streaming != a {
		return cicadapitch.StageResult{}, errOtherAttemptStreams
	}
	res.Output = a.attempt.Resume + res.Output
	return res, nil
}

// resumable reports whether another endpoint can go on after a part of the stage's output.
// A plain service answers whole.
func (r *stageRun) resumable() bool {
	pool, ok := r.request.cfg.Pool(r.stage.Pool)
	return ok && pool.Kind == cicadapitch.Engine && r.stage.Idempotent
}

// handleFailure keeps the text of a failed attempt, so that the next attempt
// resumes after it, and corrects the request's counts of attempts. Further
// attempts avoid the shard, unless the failure is a redirect that can be followed.
func (r *stageRun) handleFailure(a *sentAttempt, err error) {
	kind := cicadapitch.KindOf(err)
	text, n := a.chunks.close()
	if whole := a.attempt.Resume + text; r.resumable() && len(whole) > len(r.resumeText) {
		r.resumeText = whole
		r.resumeChunks = a.chunksBefore + n
	}
	if n > 0 && !r.resumable() && r.streaming.Load() == a {
		// The caller has a part that another attempt would send again.
		r.streamCorrupt = true
	}
	if kind != cicadapitch.Redirected || r.redirectUnusable(err) {
		r.avoid = append(r.avoid, a.attempt.Shard)
	}
	switch {
	case pipeline.NotStarted(kind):
		r.request.uncountStarted(r.stage.Idempotent)
	case pipeline.Permanent(kind) && !r.stage.Idempotent:
		r.request.uncountRejected()
	}
}

// abandon cancels an attempt whose result is no longer awaited.
func (r *stageRun) abandon(a *sentAttempt) {
	a.abandoned.Store(true)
	a.cancel()
	a.chunks.close()
	r.server.shards.attemptEnded(a.attempt.Shard, nil)
}
