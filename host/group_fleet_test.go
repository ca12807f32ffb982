package host_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/host"
)

const (
	// maxTraffic is the target for control, counted over both directions.
	maxTraffic = 4096
	// noticed is the target for a killed host and forced that for a revision.
	noticed cicadapitch.Millis = 3000
	forced  cicadapitch.Millis = 6000
	// fewSeconds bounds what has to happen within a few seconds.
	fewSeconds cicadapitch.Millis = 6000
	// changeEvery is the span between two of 3,100 changes a day.
	changeEvery cicadapitch.Millis = 28_000
	fetch       cicadapitch.Millis = 5
)

var sizes = []int{8, 40, 340}

// steadyFleet returns a fleet whose hosts know each other.
func steadyFleet(n int, seed uint64) *fleet {
	f := newFleet(n, seed)
	f.startAll()
	host.Introduce(lo.Map(f.nodes, func(nd *node, _ int) *host.Core { return nd.core }))
	f.run(1000)
	return f
}

// seenAs returns how many running hosts see nd in that state.
func (f *fleet) seenAs(nd *node, state cicadapitch.HostState) int {
	return lo.CountBy(f.running(), func(o *node) bool {
		return slices.ContainsFunc(o.core.Members(), func(m cicadapitch.Member) bool {
			return m.Host == nd.self.Host && m.State == state
		})
	})
}

// revise gives one host a new revision and returns when half of the hosts and
// when the last one had it in force.
func (f *fleet) revise(t testing.TB, r cicadapitch.Revision) (median, slowest cicadapitch.Millis) {
	for _, nd := range f.nodes {
		nd.forced = 0
	}
	f.fetch = fetch
	start := f.now
	f.force(f.nodes[len(f.nodes)/2], r)
	f.until(t, forced, func() bool {
		return lo.EveryBy(f.running(), func(nd *node) bool { return nd.core.Self().Revision == r })
	})
	f.fetch = 0
	times := lo.Map(f.running(), func(nd *node, _ int) cicadapitch.Millis { return nd.forced.Sub(start) })
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}

func TestGroupSpreadsARevisionWithinTheTarget(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := steadyFleet(n, 11)
			f.loss = 0.01
			median, slowest := f.revise(t, 2)
			t.Logf("median %d ms, slowest %d ms", median, slowest)
			require.LessOrEqual(t, slowest, forced)
		})
	}
}

func TestGroupTrafficWithARevisionStaysWithinTheTarget(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := steadyFleet(n, 13)
			f.loss = 0.01
			f.revise(t, 2)
			mean, most, _ := f.traffic(changeEvery)
			t.Logf("mean %.0f B/s, busiest %.0f B/s", mean, most)
			require.LessOrEqual(t, most, float64(maxTraffic))
		})
	}
}

func TestGroupNoticesAKilledHost(t *testing.T) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := steadyFleet(n, 14)
			killed := f.nodes[n/3]
			killed.down = true
			half := f.until(t, noticed, func() bool {
				return 2*f.seenAs(killed, cicadapitch.Ready) <= n
			})
			all := half + f.until(t, fewSeconds, func() bool { return f.seenAs(killed, cicadapitch.Ready) == 0 })
			t.Logf("half of the hosts after %d ms, all after %d ms", half, all)
			require.LessOrEqual(t, all, fewSeconds)
			require.Empty(t, f.falsely)
		})
	}
}

func TestGroupNoticesEveryKilledHostAt40Hosts(t *testing.T) {
	for seed := range uint64(16) {
		f := steadyFleet(40, seed)
		f.loss = 0.01
		killed := f.nodes[seed]
		killed.down = true
		took := f.until(t, fewSeconds, func() bool { return f.seenAs(killed, cicadapitch.Ready) == 0 })
		require.LessOrEqual(t, took, noticed, "seed %d", seed)
	}
}

func TestGroupSuspectsNobodyForAPercentOfLoss(t *testing.T) {
	for seed := range uint64(4) {
		f := steadyFleet(40, seed)
		f.loss = 0.01
		f.run(2 * cicadapitch.Minute)
		require.LessOrEqual(t, f.falsely[cicadapitch.Suspect], 39, "more than one suspicion")
		require.True(t, f.agree())
	}
}

func TestGroupReplacesAnIncarnationAtOnce(t *testing.T) {
	f := steadyFleet(40, 15)
	nd := f.nodes[7]
	nd.down = true
	f.run(200)
	f.start(nd)
	current := func(o *node) bool {
		return slices.ContainsFunc(o.core.Members(), func(m cicadapitch.Member) bool {
			return m.Host == nd.self.Host && m.Incarnation == nd.self.Incarnation && m.State == cicadapitch.Ready
		})
	}
	f.until(t, fewSeconds, func() bool { return lo.EveryBy(f.running(), current) })
	require.Zero(t, f.falsely[cicadapitch.Suspect])
}

func TestGroupLosesAZoneWithoutSuspectingOthers(t *testing.T) {
	f := steadyFleet(340, 16)
	zone := f.nodes[3].self.Zone
	for _, nd := range f.nodes {
		nd.down = nd.self.Zone == zone
	}
	took := f.until(t, 2*fewSeconds, f.agree)
	t.Logf("all agree after %d ms", took)
	require.Empty(t, f.falsely)
}

func TestGroupMergesAfterAFiveMinuteCut(t *testing.T) {
	f := steadyFleet(40, 17)
	f.cut = func(a, b *node) bool { return (a.self.Region == "region-0") != (b.self.Region == "region-0") }
	f.run(30 * cicadapitch.Second)
	changes := func() uint64 {
		return lo.SumBy(f.nodes, func(nd *node) uint64 { return nd.core.Changes() })
	}
	before := changes()
	f.run(5*cicadapitch.Minute - 30*cicadapitch.Second)
	require.Equal(t, before, changes(), "records flap while regions are cut")
	f.cut = func(_, _ *node) bool { return false }
	took := f.until(t, 2*fewSeconds, f.agree)
	t.Logf("all agree after %d ms", took)
	mean, _, _ := f.traffic(10 * cicadapitch.Second)
	require.LessOrEqual(t, mean, float64(maxTraffic))
}

func TestGroupTakesAFrozenHostBack(t *testing.T) {
	f := steadyFleet(40, 18)
	frozen := f.nodes[5]
	frozen.down = true
	f.until(t, 2*fewSeconds, f.agree)
	f.run(20 * cicadapitch.Second)
	frozen.down = false
	f.until(t, fewSeconds, f.agree)
	require.Empty(t, f.falsely, "the frozen host must accuse nobody")
}

func TestGroupStartsAllAtOnce(t *testing.T) {
	f := newFleet(40, 19)
	f.startAll()
	took := f.until(t, 5*fewSeconds, f.agree)
	t.Logf("all agree after %d ms", took)
}

func TestGroupStepsBackForALaterNamesake(t *testing.T) {
	f := steadyFleet(8, 20)
	f.run(15 * cicadapitch.Second)
	old := *f.nodes[2]
	f.start(f.nodes[2])
	f.run(fewSeconds)
	ack, _ := f.nodes[1].core.Receive(f.now, host.Ping{})
	old.core.Answered(f.now, host.Command{}, ack)
	require.False(t, old.core.Replaced())
	record := host.RecordOf(f.nodes[2].core)
	old.core.Receive(f.now, host.Ping{Records: []host.Record{record}})
	old.core.Tick(f.now)
	require.True(t, old.core.Replaced())
	require.False(t, f.nodes[2].core.Replaced())
}
