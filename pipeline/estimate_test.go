package pipeline_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// TestFewSteadyAttemptsExceedTheTail gives service times that vary by a few
// milliseconds now and then, as those of a steady endpoint do.
func TestFewSteadyAttemptsExceedTheTail(t *testing.T) {
	const attempts = 10_000
	for seed := range uint64(3) {
		r := rand.New(rand.NewPCG(seed, 0))
		e := pipeline.NewEstimate(60)
		exceeded := 0
		for range attempts {
			took := 61 + cicadapitch.Millis(r.ExpFloat64())
			if took > e.TailMillis() {
				exceeded++
			}
			e = e.Add(took)
		}
		require.LessOrEqual(t, exceeded, attempts/100, "seed %d", seed)
	}
}
