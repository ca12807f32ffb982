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
			// The first stage has at least the 1 ms that its budget needs, also if it takes no time itself.
			require.Equal(rt, max(remaining-plan[1:].ServiceTime(), 1), limit)
		}
	})
}
