package batch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
)

// chainBurst is a burst of two kinds that lasts for the given time. It asks for 1.15 of what the second and third
// stage can do.
func chainBurst(lasts cicadapitch.Millis) chainLoad {
	return chainLoad{
		kinds: []chainKind{
			{name: "A", priority: 1, objective: 2000, timeout: 15_000, perSecond: 75, bursts: true, pieces: [3]int{1, 4, 6}},
			{name: "B", priority: 2, objective: 4000, timeout: 6000, perSecond: 67, bursts: true, pieces: [3]int{1, 3, 4}},
			{name: "C", priority: 0, objective: 1200, timeout: 6000, perSecond: 45, pieces: [3]int{1, 1, 1}},
		},
		specs: chainSpecs(), endpoints: [3]int{17, 15, 18},
		burstFactor: 2.3, burstFrom: 4000, burstTo: 4000 + lasts, duration: 9000 + lasts,
	}
}

// noisyChainBurst is chainBurst with a quarter of the endpoints at half speed, and calls that take 2.5 times as long
// in 15 of 100 spells. The requests have fewer pieces, so that it asks for 1.17 of what the second stage can do.
func noisyChainBurst(lasts cicadapitch.Millis) chainLoad {
	l := chainBurst(lasts)
	l.kinds[0].pieces, l.kinds[1].pieces = [3]int{1, 3, 3}, [3]int{1, 2, 3}
	l.slowShare, l.noiseShare, l.noiseFactor = 0.25, 0.15, 2.5
	return l
}

// chainSeeds is the number of replays of a load whose results are added up, since single ones differ by up to 0.05 in
// the worth of a kind.
const chainSeeds = 2

// compareChain replays a load as planners and hosts decided before and as they decide now.
func compareChain(t *testing.T, load chainLoad) (before, now chainResult) {
	t.Helper()
	for _, r := range []struct {
		result *chainResult
		before bool
	}{{&before, true}, {&now, false}} {
		load.before = r.before
		for seed := range uint64(chainSeeds) {
			r.result.add(replayChain(load, seed))
		}
	}
	t.Logf("before: %s", before)
	t.Logf("now: %s", now)
	return before, now
}

// TestUrgentWorkIsServedInABurst guards against urgent requests that are passed by less urgent ones once they
// are late. With three stages the most urgent kind has hardly any time to spare, so that it is late
// whenever calls are full.
func TestUrgentWorkIsServedInABurst(t *testing.T) {
	before, now := compareChain(t, chainBurst(5000))
	require.Less(t, before.kinds["C"].worthShare(), 0.62)
	require.Greater(t, now.kinds["C"].worthShare(), 0.7)
	require.Greater(t, now.kinds["C"].servedShare(), 0.98)
	require.Greater(t, now.kinds["A"].worthShare(), 0.98)
	require.Greater(t, now.kinds["B"].worthShare(), 0.95)
}

// TestUrgentWorkIsServedBySlowEndpointsInABurst guards against urgent kinds of which more are refused than of the
// least urgent one.
func TestUrgentWorkIsServedBySlowEndpointsInABurst(t *testing.T) {
	before, now := compareChain(t, noisyChainBurst(5000))
	require.Greater(t, now.worth(), before.worth())
	require.Greater(t, now.kinds["A"].worthShare(), before.kinds["A"].worthShare())
	require.Greater(t, now.kinds["C"].worthShare(), before.kinds["C"].worthShare()+0.1)
	require.Greater(t, now.kinds["A"].servedShare(), 0.97)
	require.Greater(t, now.kinds["C"].servedShare(), 0.95)
	require.Greater(t, now.kinds["B"].servedShare(), 0.9)
	require.Less(t, now.unused["Hedged"], before.unused["Hedged"]/2, "calls at slow endpoints are repeated less often while calls are full")
}

// TestNoLevelStarves replays a long burst of the kind in the middle, which alone asks for more than the stages can do.
// The least urgent kind gets its reserved share, and its large requests are not refused much more often
// than the others.
func TestNoLevelStarves(t *testing.T) {
	load := chainBurst(8000)
	load.kinds[1].bursts = false
	load.burstFactor = 5
	before, now := compareChain(t, load)
	require.Less(t, before.kinds["C"].servedShare(), 0.6)
	require.Greater(t, now.kinds["C"].servedShare(), 0.95)
	require.Greater(t, now.kinds["B"].servedShare(), 0.1)
	for name, k := range now.kinds {
		usual, large := k.refusedOnArrival()
		require.LessOrEqual(t, large, 2*usual+0.05, "large requests of %s", name)
	}
}

// TestChainWithoutContentionIsServedAsBefore guards against a change of the order while all jobs are on time.
func TestChainWithoutContentionIsServedAsBefore(t *testing.T) {
	load := chainBurst(0)
	load.kinds = load.kinds[:2]
	before, now := compareChain(t, load)
	require.Equal(t, before, now)
	require.Equal(t, now.kinds["A"].asked, now.kinds["A"].inTime)
}

// TestSmallCustomerIsServedBesideABurst replays a customer whose requests come five times as often as usual
// beside three small ones, one of them of a thousandth of the load. The small ones must not wait behind the burst.
func TestSmallCustomerIsServedBesideABurst(t *testing.T) {
	load := chainBurst(8000)
	load.kinds = load.kinds[:2]
	load.kinds[1].priority = 1
	load.burstFactor = 5
	for i := range load.kinds {
		load.kinds[i].customers = []float64{0.969, 0.02, 0.01, 0.001}
	}
	before, now := compareChain(t, load)
	for _, c := range []string{"c1", "c2", "c3"} {
		require.Greater(t, now.customers[c].servedShare(), 0.95, "customer %s", c)
	}
	require.Less(t, before.customers["c1"].servedShare(), 0.9)
	require.Greater(t, now.worth(), 0.95*before.worth(), "what the small ones gain costs the large one little")
}

// TestUrgentWorkGetsFastEndpoints replays the noisy burst with endpoints that name how long work takes at the
// moment. It guards against urgent requests that are late since one of their stages ran at a slow endpoint.
func TestUrgentWorkGetsFastEndpoints(t *testing.T) {
	load := noisyChainBurst(5000)
	load.namesPace = true
	var with, without chainResult
	for seed := range uint64(chainSeeds) {
		with.add(replayChain(load, seed))
		load.namesPace = false
		without.add(replayChain(load, seed))
		load.namesPace = true
	}
	t.Logf("without: %s", without)
	t.Logf("with: %s", with)
	require.Greater(t, with.worth(), without.worth())
	require.Greater(t, with.kinds["A"].worthShare(), without.kinds["A"].worthShare())
	require.Greater(t, with.kinds["C"].worthShare(), without.kinds["C"].worthShare()+0.05)
	require.Greater(t, with.kinds["B"].servedShare(), 0.9)
}

// TestCallsAreHedgedByThePaceOfTheirEndpoints guards against calls that are repeated although their endpoint said that
// work takes longer there. One figure of noise does not change the expected time by much.
func TestCallsAreHedgedByThePaceOfTheirEndpoints(t *testing.T) {
	for factor, hedgedAfter := range map[float64]cicadapitch.Millis{1: 753, 2: 1425} {
		p := planner(2)
		for range 20 {
			p.RecordPace(start, "e0", factor)
			p.RecordPace(start, "e1", factor)
		}
		p.RecordPace(start, "e0", factor/2)
		p.RecordPace(start, "e0", factor*3/2)
		p.Submit(start, job(1, 8, 3000, 9000))
		calls, _, _, _ := p.Plan(start)
		require.Len(t, calls, 1)
		again, _, _, _ := p.Plan(start.Add(hedgedAfter * 9 / 10))
		require.Empty(t, again, "pace %g", factor)
		again, _, _, _ = p.Plan(start.Add(hedgedAfter * 11 / 10))
		require.Len(t, again, 1, "pace %g", factor)
	}
}
