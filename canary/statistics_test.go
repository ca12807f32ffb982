package canary_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch/canary"
)

// hypergeometric is the probability of newBad of bad answers at the new version if the versions are equal.
func hypergeometric(oldAnswers, newAnswers, bad, newBad int64) float64 {
	choose := func(n, k int64) float64 {
		a, _ := math.Lgamma(float64(n + 1))
		b, _ := math.Lgamma(float64(k + 1))
		c, _ := math.Lgamma(float64(n - k + 1))
		return a - b - c
	}
	return math.Exp(choose(newAnswers, newBad) + choose(oldAnswers, bad-newBad) - choose(oldAnswers+newAnswers, bad))
}

// The mean of the likelihood ratio is 1 for equal versions, whatever the share of bad answers. The bound on false
// rollbacks over all looks rests on it.
func TestLikelihoodRatioHasMeanOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		oldAnswers, newAnswers := rapid.Int64Range(1, 200).Draw(t, "old"), rapid.Int64Range(1, 60).Draw(t, "new")
		bad := rapid.Int64Range(0, oldAnswers+newAnswers).Draw(t, "bad")
		ratio := rapid.Float64Range(1, 500).Draw(t, "ratio")
		mean, tail := 0.0, 0.0
		for k := min(bad, newAnswers); k >= max(0, bad-oldAnswers); k-- {
			p := hypergeometric(oldAnswers, newAnswers, bad, k)
			mean += p * math.Exp(canary.LogRatio(oldAnswers, bad-k, newAnswers, k, ratio))
			tail += p
			exact, _ := canary.Tail(oldAnswers, bad-k, newAnswers, k)
			if tail > 1e-10 && exact < 1 {
				require.InEpsilon(t, tail, exact, 1e-6, "exact probability of at least %d", k)
			}
		}
		require.InDelta(t, 1, mean, 1e-6)
	})
}

// The normal distribution is used for many bad answers only; there it must not be far below the exact one.
func TestNormalTailIsNearExactForManyBadAnswers(t *testing.T) {
	for _, k := range []int64{560, 580, 600} {
		exact, normal := canary.Tail(50_000, 5000-500+500-k+500, 5000, k)
		t.Logf("%d bad answers: exact %.2g, normal %.2g", k, exact, normal)
		require.Less(t, exact, 3*normal)
	}
}

func TestStartWeightsSumUpToAtMostOne(t *testing.T) {
	for _, shift := range []bool{false, true} {
		sum := 0.0
		for look := 1; look < 1_000_000; look++ {
			sum += math.Exp(canary.StartWeight(look, shift))
		}
		require.LessOrEqual(t, sum, 1.0)
	}
	require.Less(t, canary.FixedRisk+canary.ConcurrentRisk+canary.ShiftRisk, 1e-3)
}
