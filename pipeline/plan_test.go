package pipeline_test

import (
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAdmitRefusesWithTheTimeToComeBack(t *testing.T) {
	plan := pipeline.Plan{{Wait: 500, Service: 100}, {Wait: 300, Service: 200}}
	require.NoError(t, plan.Admit(1500))
	err := plan.Admit(1400)
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.Equal(t, cicadapitch.Millis(100), cicadapitch.AsError(err).RetryAfter)
	require.Contains(t, plan.Admit(200).Error(), "longer deadline")
}

func TestSplitLeavesLaterStagesTheirTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var plan pipeline.Plan
		for range rapid.IntRange(1, 6).Draw(rt, "stages") {
			plan = append(plan, pipeline.StageEstimate{Service: cicadapitch.Millis(rapid.IntRange(0, 3000).Draw(rt, "service"))})
		}
		left := cicadapitch.Millis(rapid.IntRange(-10, 9000).Draw(rt, "left"))
		budget, limit := plan.Split(left)
		require.LessOrEqual(rt, budget, limit)
		if left <= 0 {
			require.Zero(rt, limit)
			return
		}
		require.LessOrEqual(rt, limit, left)
		require.Positive(rt, budget)
		if plan.ServiceTime() <= left {
			require.Equal(rt, left-plan[1:].ServiceTime(), limit)
		}
	})
}

func TestNextBoundsTheAttemptsOfAStage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := pipeline.AttemptCounts{Idempotent: rapid.Bool().Draw(rt, "idempotent")}
		left := cicadapitch.Millis(rapid.IntRange(1, 9000).Draw(rt, "left"))
		for n := 0; ; n++ {
			require.Less(rt, n, 20)
			kind := rapid.SampledFrom([]cicadapitch.Kind{
				cicadapitch.NotRun, cicadapitch.Redirected, cicadapitch.OutcomeUnknown, cicadapitch.Internal,
			}).Draw(rt, "kind")
			var step pipeline.RetryDecision
			p, step = pipeline.DecideRetry(p, kind, left, rapid.Uint64().Draw(rt, "random"))
			if step.Move == pipeline.Fail || step.Move == pipeline.Ask {
				return
			}
			require.Less(rt, step.Wait, left)
			started := !pipeline.NotStarted(kind)
			require.False(rt, started && !p.Idempotent, "would run %v again", kind)
			require.Equal(rt, started, step.NeedsBudget)
		}
	})
}

func TestBudgetBoundsAStorm(t *testing.T) {
	b := pipeline.NewRetryBudget(0.1, 10)
	spent := 0
	for range 10_000 {
		b = b.Deposit()
		for {
			next, ok := b.Withdraw()
			if !ok {
				break
			}
			b = next
			spent++
		}
	}
	require.LessOrEqual(t, spent, 10_000/10+10)
}

func TestEstimateFollowsMeasurements(t *testing.T) {
	e := pipeline.NewEstimate(1000)
	for range 50 {
		e = e.Add(100)
	}
	require.InDelta(t, 100, float64(e.MeanMillis()), 20)
	require.GreaterOrEqual(t, e.TailMillis(), e.MeanMillis())
}
