package pipeline_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// The service times vary by a few milliseconds, as those of a steady endpoint
// do. At most 1% of them may exceed the tail, since each one that does costs a
// hedge.
func TestFewSteadyAttemptsExceedTheTail(t *testing.T) {
	const attempts = 10_000
	for seed := range uint64(3) {
		r := rand.New(rand.NewPCG(seed, 0))
		e := pipeline.NewEstimate(60)
		exceeded := 0
		for range attempts {
			service := 61 + cicadapitch.Millis(r.ExpFloat64())
			if service > e.TailMillis() {
				exceeded++
			}
			e = e.Add(service)
		}
		require.LessOrEqual(t, exceeded, attempts/100, "seed %d", seed)
	}
}

func TestEstimateConvergesToMeasurements(t *testing.T) {
	e := pipeline.NewEstimate(1000)
	for range 50 {
		e = e.Add(100)
	}
	require.InDelta(t, 100, float64(e.MeanMillis()), 20)
	require.GreaterOrEqual(t, e.TailMillis(), e.MeanMillis())
}
