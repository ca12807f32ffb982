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
	s     *Server
	rec   *record
	index int
	stage cicadapitch.Stage
	input string

	progress pipeline.AttemptCounts
	// number is the number of the last attempt. Each attempt has its own.
	number int
	// delivered is the text that earlier attempts brought without gaps.
	delivered string
	chunks    int
	avoid     []cicadapitch.ShardID
	// broken is true where the caller has got chunks that belong to no result.
	broken bool
	// owner is set where an error named the owner of shard.
	owner *cicadapitch.Member
	shard pipeline.ShardChoice
	// lead is the attempt of the present race that streams to the caller.
	lead atomic.Pointer[dispatched]
	// led is closed once there is one.
	led chan struct{}
}

// runStage runs one stage to its result. It starts further attempts where that
// is allowed and pays.
func (s *Server) runStage(ctx context.Context, rec *record, i int, input string) (cicadapitch.StageResult, error) {
	st := rec.pipeline.Stages[i]
	r := &stageRun{s: s, rec: rec, index: i, stage: st, input: input}
	r.progress.Idempotent = st.Idempotent
	for {
		res, err := r.race(ctx)
		if err == nil {
			return r.finish(res), nil
		}
		if err := r.next(ctx, err); err != nil {
			return cicadapitch.StageResult{}, err
		}
	}
}

// next waits for the next attempt, or returns the error that ends the stage.
func (r *stageRun) next(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ended(ctx, err)
	}
	if r.broken {
		return err
	}
	kind := cicadapitch.KindOf(err)
	left := r.rec.deadline.Sub(r.s.clock.Now())
	lost := r.lost(err)
	progress, step := pipeline.DecideRetry(r.progress, kind, left, r.s.random.next())
	r.progress = progress
	switch step.Action {
	case pipeline.Retry, pipeline.FollowRedirect:
	default:
		return err
	}
	if step.NeedsBudget && !r.s.budget.Withdraw() {
		return err
	}
	r.owner = nil
	if step.Action == pipeline.FollowRedirect && !lost {
		r.owner = r.redirected(err)
	}
	r.s.metrics.Retried(r.stage.ID, kind)
	if r.s.clock.Sleep(ctx, step.Wait) != nil {
		return ended(ctx, err)
	}
	return nil
}

// lost reports whether following a redirect leads nowhere: it names no known
// host, or it comes from a host that the last one named.
func (r *stageRun) lost(err error) bool {
	return r.progress.Redirects > 0 || r.redirected(err) == nil
}

// redirected returns the owner that a Redirected error names.
func (r *stageRun) redirected(err error) *cicadapitch.Member {
	e := cicadapitch.AsError(err)
	if e == nil || e.Owner == "" {
		return nil
	}
	for _, m := range r.s.members.Members() {
		if m.Host == e.Owner {
			return &m
		}
	}
	return nil
}

// finish reports the stage and returns its whole result.
func (r *stageRun) finish(res cicadapitch.StageResult) cicadapitch.StageResult {
	r.s.estimates.add(r.stage, res.Served)
	r.rec.report(cicadapitch.StageReport{
		Stage:    r.stage.ID,
		Endpoint: res.Endpoint,
		Zone:     res.Zone,
		Attempts: r.number,
		Queued:   res.Queued,
		Served:   res.Served,
		Tokens:   res.Tokens,
		Cost:     res.Cost,
	})
	return res
}

// ended returns why a context ended a stage.
func ended(ctx context.Context, last error) error {
	reason := "the caller has gone"
	if cause := context.Cause(ctx); errors.Is(cause, context.DeadlineExceeded) {
		reason = "the deadline has passed"
	}
	if e := cicadapitch.AsError(last); e != nil && e.Kind != cicadapitch.DeadlineExceeded {
		reason += " after: " + e.Reason
	}
	return cicadapitch.NewError(cicadapitch.DeadlineExceeded, reason, "send the request again")
}
