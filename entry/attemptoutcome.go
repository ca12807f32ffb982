package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
	"github.com/samber/lo"
)

const (
	// outcomeQueryTimeout bounds one query for the outcome of an attempt or token.
	outcomeQueryTimeout = cicadapitch.Second
	// outcomePollInterval is the time between two queries for the outcome of a
	// running attempt.
	outcomePollInterval cicadapitch.Millis = 50
)

// resolveOutcome asks the owner for the outcome of a non-idempotent attempt that
// ended with err. It returns the attempt's result, or an error that says that the
// attempt failed or never ran, or an OutcomeUnknown error if the owner cannot
// tell.
func (r *stageRun) resolveOutcome(ctx context.Context, a *sentAttempt, err error) (cicadapitch.StageResult, error) {
	kind := cicadapitch.KindOf(err)
	// Only the action matters here. The remaining time and the random number do
	// not affect whether it is QueryOutcome.
	if _, step := pipeline.DecideRetry(r.attemptCounts, kind, outcomeQueryTimeout, 0); step.Action != pipeline.QueryOutcome {
		return cicadapitch.StageResult{}, err
	}
	for {
		state, queryErr := r.queryOutcome(ctx, a)
		if queryErr != nil || state.Attempt != a.attempt.ID {
			return cicadapitch.StageResult{}, outcomeUnknown(err)
		}
		switch state.Phase {
		case cicadapitch.Refused:
			if !r.server.incarnationAlive(a.owner) {
				return cicadapitch.StageResult{}, outcomeUnknown(err)
			}
			return outcomeOfState(state, err)
		case cicadapitch.Queued, cicadapitch.Running:
			if r.server.clock.Sleep(ctx, outcomePollInterval) != nil {
				return cicadapitch.StageResult{}, outcomeUnknown(err)
			}
		default:
			return outcomeOfState(state, err)
		}
	}
}

// incarnationAlive reports whether the given incarnation of a host is a member
// and not dead. If it is not, the phase Refused proves nothing: the answer may come
// from the incarnation that replaced it, which has no record of the attempt.
func (s *Server) incarnationAlive(m cicadapitch.Member) bool {
	return lo.ContainsBy(s.members.Members(), func(o cicadapitch.Member) bool {
		return o.Host == m.Host && o.Incarnation == m.Incarnation && o.State != cicadapitch.Dead
	})
}

// outcomeOfState returns the result or error of an attempt that has ended. Err is
// the error with which the attempt returned. Its reason is used for an
// OutcomeUnknown error if the state has no error.
func outcomeOfState(state cicadapitch.AttemptState, err error) (cicadapitch.StageResult, error) {
	switch {
	case state.Phase == cicadapitch.Refused:
		return cicadapitch.StageResult{}, cicadapitch.NewNotRun("the attempt did not reach its owner", 1)
	case state.Phase == cicadapitch.Done && state.Result != nil && state.Result.Attempt == state.Attempt:
		return *state.Result, nil
	case state.Phase == cicadapitch.Failed && state.Error != nil:
		if kind := state.Error.Kind; pipeline.Permanent(kind) || pipeline.NotStarted(kind) {
			return cicadapitch.StageResult{}, state.Error
		}
		return cicadapitch.StageResult{}, outcomeUnknown(state.Error)
	}
	return cicadapitch.StageResult{}, outcomeUnknown(err)
}

// queryOutcome asks the owner once for the state of an attempt. It returns an
// OutcomeUnknown error after outcomeQueryTimeout.
func (r *stageRun) queryOutcome(ctx context.Context, a *sentAttempt) (cicadapitch.AttemptState, error) {
	ctx, cancel := withTimeout(ctx, r.server.clock, outcomeQueryTimeout)
	defer cancel()
	return await(ctx, func() (cicadapitch.AttemptState, error) {
		return r.server.runner.Outcome(ctx, a.owner, a.attempt.ID)
	})
}

// outcomeUnknown returns an OutcomeUnknown error with the reason of err.
func outcomeUnknown(err error) error {
	reason := err.Error()
	if e := cicadapitch.AsError(err); e != nil {
		reason = e.Reason
	}
	return cicadapitch.NewOutcomeUnknown(reason)
}
