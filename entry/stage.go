package entry

import (
	"context"
	"errors"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// stageRun is the state of one stage of a request while it runs.
type stageRun struct {
	server  *Server
	request *requestRun
	index   int
	stage   cicadapitch.Stage
	input   string

	attemptCounts pipeline.AttemptCounts
	// attempts counts the attempts so far. Attempts are numbered from 1.
	attempts int
	// resumeText is the text that earlier attempts delivered, and resumeChunks
	// the number of its chunks. The next attempt resumes after it.
	resumeText   string
	resumeChunks int
	// avoid lists the shards at which an attempt failed or was slow. Further
	// attempts prefer other shards.
	avoid []cicadapitch.ShardID
	// streamCorrupt is true if the caller has received chunks that are not a
	// prefix of the result. The stage is not retried then.
	streamCorrupt bool
	// redirectOwner is the owner of the chosen shard that a redirect named, or
	// nil. The next attempt goes to it.
	redirectOwner *cicadapitch.Member
	// retryReserved is true if the next retry has taken its token of the retry budget.
	retryReserved bool
	choice        pipeline.ShardChoice
	// streaming is the current attempt that streams to the caller.
	streaming atomic.Pointer[sentAttempt]
	// streamStarted is closed once streaming is set.
	streamStarted chan struct{}
}

// runStage runs one stage until it has a result. It starts further attempts as
// far as the stage and the retry budget allow.
func (s *Server) runStage(ctx context.Context, request *requestRun, i int, input string) (cicadapitch.StageResult, error) {
	st := request.pipeline.Stages[i]
	r := &stageRun{server: s, request: request, index: i, stage: st, input: input}
	r.attemptCounts.Idempotent = st.Idempotent
	for {
		res, err := r.runAttempts(ctx)
		if err == nil {
			return r.recordResult(res), nil
		}
		if err := r.prepareRetry(ctx, err); err != nil {
			return cicadapitch.StageResult{}, err
		}
	}
}

// prepareRetry waits until the next attempt may start. It returns the error that
// ends the stage if there is to be no further attempt.
func (r *stageRun) prepareRetry(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return contextError(ctx, err)
	}
	if r.streamCorrupt {
		return err
	}
	kind := cicadapitch.KindOf(err)
	left := r.request.deadline.Sub(r.server.clock.Now())
	redirectUnusable := r.redirectUnusable(err)
	attemptCounts, step := pipeline.DecideRetry(r.attemptCounts, kind, left, r.server.random.next())
	r.attemptCounts = attemptCounts
	switch step.Action {
	case pipeline.Retry, pipeline.FollowRedirect:
	default:
		return err
	}
	reserved := r.retryReserved
	r.retryReserved = false
	if step.NeedsBudget && !reserved && !r.server.budget.Withdraw() {
		return err
	}
	r.redirectOwner = nil
	if step.Action == pipeline.FollowRedirect && !redirectUnusable {
		r.redirectOwner = r.redirectTarget(err)
	}
	r.server.metrics.Retried(r.stage.ID, kind)
	if r.server.clock.Sleep(ctx, step.Wait) != nil {
		return contextError(ctx, err)
	}
	return nil
}

// redirectUnusable reports whether a redirect must not be followed, because it
// names no known host or the stage has already had another redirect.
func (r *stageRun) redirectUnusable(err error) bool {
	return r.attemptCounts.Redirects > 0 || r.redirectTarget(err) == nil
}

// redirectTarget returns the owner that a Redirected error names, or nil if the
// error names none or the host is not a member.
func (r *stageRun) redirectTarget(err error) *cicadapitch.Member {
	e := cicadapitch.AsError(err)
	if e == nil || e.Owner == "" {
		return nil
	}
	for _, m := range r.server.members.Members() {
		if m.Host == e.Owner {
			return &m
		}
	}
	return nil
}

// recordResult adds the result to the service time estimate and to the stage
// reports of the request, and returns the result.
func (r *stageRun) recordResult(res cicadapitch.StageResult) cicadapitch.StageResult {
	r.server.serviceTimes.add(r.stage, res.Served)
	r.request.addReport(cicadapitch.StageReport{
		Stage:    r.stage.ID,
		Endpoint: res.Endpoint,
		Zone:     res.Zone,
		Attempts: r.attempts,
		Queued:   res.Queued,
		Served:   res.Served,
		Tokens:   res.Tokens,
		Cost:     res.Cost,
	})
	return res
}

// contextError returns the DeadlineExceeded error of a stage whose context ended.
// Its reason includes that of lastErr, the error of the last attempt.
func contextError(ctx context.Context, lastErr error) error {
	reason := "the caller has gone"
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		reason = "the deadline has passed"
	case errors.Is(cause, errEnding):
		reason = "the host that took the request ends"
	}
	if e := cicadapitch.AsError(lastErr); e != nil && e.Kind != cicadapitch.DeadlineExceeded {
		reason += " after: " + e.Reason
	}
	return cicadapitch.NewError(cicadapitch.DeadlineExceeded, reason, "send the request again")
}
