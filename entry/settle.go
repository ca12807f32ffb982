package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
	"github.com/samber/lo"
)

const (
	// askMillis bounds one question about an attempt.
	askMillis = cicadapitch.Second
	// pollMillis is the span between two questions about a running attempt.
	pollMillis cicadapitch.Millis = 50
)

// settle finds out what became of an attempt that may not be repeated and that
// ended without a result. It returns the result, an error that says that the
// attempt never ran, or OutcomeUnknown where nobody can tell.
func (r *stageRun) settle(ctx context.Context, f *dispatched, err error) (cicadapitch.StageResult, error) {
	kind := cicadapitch.KindOf(err)
	if _, step := pipeline.DecideRetry(r.progress, kind, askMillis, 0); step.Action != pipeline.QueryOutcome {
		return cicadapitch.StageResult{}, err
	}
	for {
		state, asked := r.ask(ctx, f)
		if asked != nil || state.Attempt != f.attempt.ID {
			return cicadapitch.StageResult{}, unknown(err)
		}
		switch state.Phase {
		case cicadapitch.Refused:
			if !r.s.lives(f.owner) {
				return cicadapitch.StageResult{}, unknown(err)
			}
			return read(state, err)
		case cicadapitch.Queued, cicadapitch.Running:
			if r.s.clock.Sleep(ctx, pollMillis) != nil {
				return cicadapitch.StageResult{}, unknown(err)
			}
		default:
			return read(state, err)
		}
	}
}

// lives reports whether no other incarnation is known to have taken the place of
// a host. A new one knows nothing of the attempts of the one before.
func (s *Server) lives(m cicadapitch.Member) bool {
	return lo.ContainsBy(s.members.Members(), func(o cicadapitch.Member) bool {
		return o.Host == m.Host && o.Incarnation == m.Incarnation && o.State != cicadapitch.Dead
	})
}

// read returns the result or error of an attempt that has ended.
func read(state cicadapitch.AttemptState, err error) (cicadapitch.StageResult, error) {
	switch {
	case state.Phase == cicadapitch.Refused:
		return cicadapitch.StageResult{}, cicadapitch.NewNotRun("the attempt did not reach its owner", 1)
	case state.Phase == cicadapitch.Done && state.Result != nil && state.Result.Attempt == state.Attempt:
		return *state.Result, nil
	case state.Phase == cicadapitch.Failed && state.Error != nil:
		if kind := state.Error.Kind; pipeline.Permanent(kind) || pipeline.NotStarted(kind) {
			return cicadapitch.StageResult{}, state.Error
		}
		return cicadapitch.StageResult{}, unknown(state.Error)
	}
	return cicadapitch.StageResult{}, unknown(err)
}

// ask asks once, for no longer than askMillis.
func (r *stageRun) ask(ctx context.Context, f *dispatched) (cicadapitch.AttemptState, error) {
	ctx, cancel := withTimeout(ctx, r.s.clock, askMillis)
	defer cancel()
	return await(ctx, func() (cicadapitch.AttemptState, error) {
		return r.s.runner.Outcome(ctx, f.owner, f.attempt.ID)
	})
}

func unknown(err error) error {
	reason := err.Error()
	if e := cicadapitch.AsError(err); e != nil {
		reason = e.Reason
	}
	return cicadapitch.NewOutcomeUnknown(reason)
}
