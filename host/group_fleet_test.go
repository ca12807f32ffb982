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
	// maxBytesPerSecond bounds the membership traffic of a host, sent and
	// received.
	maxBytesPerSecond = 4096
	// detectionTarget bounds the time until a killed host is detected.
	detectionTarget cicadapitch.Millis = 3000
	// revisionTarget bounds the time until every host has a new revision in
	// force.
	revisionTarget cicadapitch.Millis = 6000
	// convergenceLimit bounds the time until the hosts agree on their members.
	convergenceLimit cicadapitch.Millis = 6000
	// changeInterval is the mean interval between changes in a deployment with
	// 3,100 changes a day.
	changeInterval     cicadapitch.Millis = 28_000
	revisionFetchDelay cicadapitch.Millis = 5
)

var fleetSizes = []int{8, 40, 340}

// convergedFleet returns a fleet in which all hosts know each other.
func convergedFleet(n int, seed uint64) *fleet {
	f := newFleet(n, seed)
	f.startAll()
	host.Introduce(lo.Map(f.nodes, func(nd *node, _ int) *host.Core { return nd.core }))
	f.run(1000)
	return f
}

// seenAs returns the number of running hosts that see nd in the given state.
func (f *fleet) seenAs(nd *node, state cicadapitch.HostState) int {
	return lo.CountBy(f.runningNodes(), func(o *node) bool {
		return slices.ContainsFunc(o.core.Members(), func(m cicadapitch.Member) bool {
			return m.Host == nd.self.Host && m.State == state
		})
	})
}

// spreadRevision sets a new revision on one host. It returns the times until
// half of the running hosts and until the last one had the revision in force.
func (f *fleet) spreadRevision(t testing.TB, r cicadapitch.Revision) (median, slowest cicadapitch.Millis) {
	for _, nd := range f.nodes {
		nd.revisionAt = 0
	}
	f.fetchDelay = revisionFetchDelay
	start := f.now
	f.setRevision(f.nodes[len(f.nodes)/2], r)
	f.runUntil(t, revisionTarget, func() bool {
		return lo.EveryBy(f.runningNodes(), func(nd *node) bool { return nd.core.Self().Revision == r })
	})
	f.fetchDelay = 0
	times := lo.Map(f.runningNodes(), func(nd *node, _ int) cicadapitch.Millis { return nd.revisionAt.Sub(start) })
	slices.Sort(times)
	return times[len(times)/2], times[len(times)-1]
}

func TestGroupSpreadsARevisionWithinTheTarget(t *testing.T) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := convergedFleet(n, 11)
			f.loss = 0.01
			median, slowest := f.spreadRevision(t, 2)
			t.Logf("median %d ms, slowest %d ms", median, slowest)
			require.LessOrEqual(t, slowest, revisionTarget)
		})
	}
}

func TestGroupTrafficWithARevisionStaysWithinTheTarget(t *testing.T) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := convergedFleet(n, 13)
			f.loss = 0.01
			f.spreadRevision(t, 2)
			mean, busiest, _ := f.traffic(changeInterval)
			t.Logf("mean %.0f B/s, busiest %.0f B/s", mean, busiest)
			require.LessOrEqual(t, busiest, float64(maxBytesPerSecond))
		})
	}
}

func TestGroupDetectsAKilledHost(t *testing.T) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := convergedFleet(n, 14)
			killed := f.nodes[n/3]
			killed.down = true
			half := f.runUntil(t, detectionTarget, func() bool {
				return 2*f.seenAs(killed, cicadapitch.Ready) <= n
			})
			all := half + f.runUntil(t, convergenceLimit, func() bool { return f.seenAs(killed, cicadapitch.Ready) == 0 })
			t.Logf("half of the hosts after %d ms, all after %d ms", half, all)
			require.LessOrEqual(t, all, convergenceLimit)
			require.Empty(t, f.falseSuspicions)
		})
	}
}

func TestGroupDetectsAKilledHostDespiteLoss(t *testing.T) {
	for seed := range uint64(16) {
		f := convergedFleet(40, seed)
		f.loss = 0.01
		killed := f.nodes[seed]
		killed.down = true
		took := f.runUntil(t, convergenceLimit, func() bool { return f.seenAs(killed, cicadapitch.Ready) == 0 })
		require.LessOrEqual(t, took, detectionTarget, "seed %d", seed)
	}
}

func TestGroupRarelySuspectsRunningHostsAtOnePercentLoss(t *testing.T) {
	for seed := range uint64(4) {
		f := convergedFleet(40, seed)
		f.loss = 0.01
		f.run(2 * cicadapitch.Minute)
		require.LessOrEqual(t, f.falseSuspicions[cicadapitch.Suspect], 39, "more suspicions than one suspected host causes at the 39 others")
		require.True(t, f.converged())
	}
}

func TestGroupReplacesARestartedHostWithoutSuspicion(t *testing.T) {
	f := convergedFleet(40, 15)
	nd := f.nodes[7]
	nd.down = true
	f.run(200)
	f.start(nd)
	current := func(o *node) bool {
		return slices.ContainsFunc(o.core.Members(), func(m cicadapitch.Member) bool {
			return m.Host == nd.self.Host && m.Incarnation == nd.self.Incarnation && m.State == cicadapitch.Ready
		})
	}
	f.runUntil(t, convergenceLimit, func() bool { return lo.EveryBy(f.runningNodes(), current) })
	require.Zero(t, f.falseSuspicions[cicadapitch.Suspect])
}

func TestGroupRemovesAFailedZoneWithoutSuspectingOthers(t *testing.T) {
	f := convergedFleet(340, 16)
	zone := f.nodes[3].self.Zone
	for _, nd := range f.nodes {
		nd.down = nd.self.Zone == zone
	}
	took := f.runUntil(t, 2*convergenceLimit, f.converged)
	t.Logf("all agree after %d ms", took)
	require.Empty(t, f.falseSuspicions)
}

func TestGroupConvergesAfterAFiveMinutePartition(t *testing.T) {
	f := convergedFleet(40, 17)
	f.partitioned = func(a, b *node) bool { return (a.self.Region == "region-0") != (b.self.Region == "region-0") }
	f.run(30 * cicadapitch.Second)
	changes := func() uint64 {
		return lo.SumBy(f.nodes, func(nd *node) uint64 { return nd.core.Changes() })
	}
	before := changes()
	f.run(5*cicadapitch.Minute - 30*cicadapitch.Second)
	require.Equal(t, before, changes(), "records must not change during the partition")
	f.partitioned = func(_, _ *node) bool { return false }
	took := f.runUntil(t, 2*convergenceLimit, f.converged)
	t.Logf("all agree after %d ms", took)
	mean, _, _ := f.traffic(10 * cicadapitch.Second)
	require.LessOrEqual(t, mean, float64(maxBytesPerSecond))
}

func TestGroupReadmitsAPausedHost(t *testing.T) {
	f := convergedFleet(40, 18)
	paused := f.nodes[5]
	paused.down = true
	f.runUntil(t, 2*convergenceLimit, f.converged)
	f.run(20 * cicadapitch.Second)
	paused.down = false
	f.runUntil(t, convergenceLimit, f.converged)
	require.Empty(t, f.falseSuspicions, "the paused host must not suspect others")
}

func TestGroupConvergesWhenAllHostsStartTogether(t *testing.T) {
	f := newFleet(40, 19)
	f.startAll()
	took := f.runUntil(t, 5*convergenceLimit, f.converged)
	t.Logf("all agree after %d ms", took)
}

// A process must report that a later process has taken over its host id once it
// receives the record of the later one, and must not report it before.
func TestCoreReportsReplacementByALaterProcess(t *testing.T) {
	f := convergedFleet(8, 20)
	f.run(15 * cicadapitch.Second)
	old := *f.nodes[2]
	f.start(f.nodes[2])
	f.run(convergenceLimit)
	ack, _ := f.nodes[1].core.HandlePing(f.now, host.Ping{})
	old.core.HandleAck(f.now, host.Command{}, ack)
	require.False(t, old.core.Replaced())
	record := host.RecordOf(f.nodes[2].core)
	old.core.HandlePing(f.now, host.Ping{Records: []host.Record{record}})
	old.core.Tick(f.now)
	require.True(t, old.core.Replaced())
	require.False(t, f.nodes[2].core.Replaced())
}
