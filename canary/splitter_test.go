package canary_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/canary"
)

// fleetSplit sends requests to hosts with uneven rates and returns those to the new version. Each restart replaces a
// host's splitter.
func fleetSplit(rng *rand.Rand, hosts, requests, restartEvery int, share float64, check func(total, toNew int)) {
	splitters := make([]*canary.Splitter, hosts)
	for i := range splitters {
		splitters[i] = canary.NewSplitter(rng.Float64())
	}
	toNew := 0
	for total := 1; total <= requests; total++ {
		// A tenth of the hosts get half of the requests.
		h := rng.IntN(hosts)
		if rng.IntN(2) == 0 {
			h = rng.IntN(max(hosts/10, 1))
		}
		if restartEvery > 0 && total%restartEvery == 0 {
			splitters[rng.IntN(hosts)] = canary.NewSplitter(rng.Float64())
		}
		if splitters[h].Next(share) {
			toNew++
		}
		check(total, toNew)
	}
}

// Guards against exposure above the bounds because of many hosts with few requests each, or hosts that restart.
func TestFleetStaysBelowExposureBounds(t *testing.T) {
	share := canary.Bounds{}.CanaryShare()
	require.Less(t, share, 0.1)
	for _, hosts := range []int{3, 59, 300} {
		for _, requests := range []int{200, 2000, 20_000} {
			for _, restartEvery := range []int{0, 20, 3} {
				t.Run(fmt.Sprintf("%d hosts, %d requests, restart every %d", hosts, requests, restartEvery), func(t *testing.T) {
					worst := -1e9
					for seed := range uint64(20) {
						rng := rand.New(rand.NewPCG(seed, 1))
						fleetSplit(rng, hosts, requests, restartEvery, share, func(total, toNew int) {
							worst = max(worst, float64(toNew)-0.1*float64(total))
						})
					}
					t.Logf("at most %.0f requests above 0.1 of all, allowed are 50", worst)
					require.LessOrEqual(t, worst, 50.0)
				})
			}
		}
	}
}

// Guards against a share that is systematically too small or too large where hosts get one or two requests each.
func TestFleetTotalIsRightOnAverage(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 5))
	toNew, total := 0, 0
	for range 500 {
		last := 0
		fleetSplit(rng, 300, 300, 0, 0.08, func(_, n int) { last = n })
		toNew, total = toNew+last, total+300
	}
	require.InDelta(t, 0.08, float64(toNew)/float64(total), 0.002)
}

func TestSplitterExtremes(t *testing.T) {
	s := canary.NewSplitter(0.99)
	require.False(t, s.Next(0), "no share, although the sum is almost 1")
	require.True(t, s.Next(1))
	require.True(t, s.Next(0.5))
	s.Return()
	require.True(t, s.Next(0.01), "a request that the new version could not take is made up for")
	require.False(t, s.Next(0.01))
	require.False(t, canary.NewSplitter(-3).Next(0.5), "a seed out of range counts as 0")
}
