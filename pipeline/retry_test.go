package pipeline_test

import (
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

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
