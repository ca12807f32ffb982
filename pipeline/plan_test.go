package pipeline_test

import (
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAdmitSetsRetryAfter(t *testing.T) {
	plan := pipeline.Plan{{Wait: 500, Service: 100}, {Wait: 300, Service: 200}}
	require.NoError(t, plan.Admit(1500))
	err := plan.Admit(1400)
	require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	require.Equal(t, cicadapitch.Millis(100), cicadapitch.AsError(err).RetryAfter)
	require.Contains(t, plan.Admit(200).Error(), "longer deadline")
}

func TestSplitReservesServiceTimeOfLaterStages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var plan pipeline.Plan
		for range rapid.IntRange(1, 6).Draw(rt, "stages") {
			plan = append(plan, pipeline.StageEstimate{Service: cicadapitch.Millis(rapid.IntRange(0, 3000).Draw(rt, "service"))})
		}
		remaining := cicadapitch.Millis(rapid.IntRange(-10, 9000).Draw(rt, "left"))
		budget, limit := plan.Split(remaining)
		require.LessOrEqual(rt, budget, limit)
		if remaining <= 0 {
			require.Zero(rt, limit)
			return
		}
		require.LessOrEqual(rt, limit, remaining)
		require.Positive(rt, budget)
		if plan.ServiceTime() <= remaining {
			require.Equal(rt, remaining-plan[1:].ServiceTime(), limit)
		}
	})
}

func TestDecideRetryBoundsTheAttempts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := pipeline.AttemptCounts{Idempotent: rapid.Bool().Draw(rt, "idempotent")}
		remaining := cicadapitch.Millis(rapid.IntRange(1, 9000).Draw(rt, "left"))
		for n := 0; ; n++ {
			require.Less(rt, n, 20)
			kind := rapid.SampledFrom([]cicadapitch.Kind{
				cicadapitch.NotRun, cicadapitch.Redirected, cicadapitch.OutcomeUnknown, cicadapitch.Internal,
			}).Draw(rt, "kind")
			var decision pipeline.RetryDecision
			p, decision = pipeline.DecideRetry(p, kind, remaining, rapid.Uint64().Draw(rt, "random"))
			if decision.Action == pipeline.Fail || decision.Action == pipeline.QueryOutcome {
				return
			}
			require.Less(rt, decision.Wait, remaining)
			started := !pipeline.NotStarted(kind)
			require.False(rt, started && !p.Idempotent, "would run %v again", kind)
			require.Equal(rt, started, decision.NeedsBudget)
		}
	})
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := pipeline.NewRetryBudget(0.1, 10)
	retries := 0
	for range 10_000 {
		b = b.Deposit()
		for {
			next, ok := b.Withdraw()
			if !ok {
				break
			}
			b = next
			retries++
		}
	}
	require.LessOrEqual(t, retries, 10_000/10+10)
}

func TestEstimateConvergesToMeasurements(t *testing.T) {
	e := pipeline.NewEstimate(1000)
	for range 50 {
		e = e.Add(100)
	}
	require.InDelta(t, 100, float64(e.MeanMillis()), 20)
	require.GreaterOrEqual(t, e.TailMillis(), e.MeanMillis())
}
