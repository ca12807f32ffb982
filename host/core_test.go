package host_test

import (
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/host"
)

const startTime cicadapitch.Instant = 1_000_000

func newCore(id cicadapitch.HostID, incarnation cicadapitch.Incarnation, started cicadapitch.Instant) *host.Core {
	m := cicadapitch.Member{
		Host: id, Incarnation: incarnation, State: cicadapitch.Ready, PeerAddress: string(id) + ":1", Started: started,
	}
	return host.NewCore(m, nil, 1, startTime)
}

func findMember(c *host.Core, id cicadapitch.HostID) (cicadapitch.Member, bool) {
	return lo.Find(c.Members(), func(m cicadapitch.Member) bool { return m.Host == id })
}

// receiveRecords delivers a ping with the records to c.
func receiveRecords(c *host.Core, records ...host.Record) {
	c.HandlePing(startTime, host.Ping{Records: records})
}

// After a pause of its own process, a core must not declare a suspected host
// Gone for a refutation that could not arrive during the pause.
func TestCoreExtendsSuspicionsAfterAPause(t *testing.T) {
	a, b := newCore("a", 1, startTime), newCore("b", 1, startTime)
	receiveRecords(a, host.RecordOf(b))
	now := startTime
	for m, _ := findMember(a, "b"); m.State == cicadapitch.Ready; m, _ = findMember(a, "b") {
		now = now.Add(tickInterval)
		a.Tick(now)
	}
	now = now.Add(20 * cicadapitch.Second)
	a.Tick(now)
	m, known := findMember(a, "b")
	require.True(t, known, "the time in which this process was paused must not count")
	require.Equal(t, cicadapitch.Suspect, m.State)
	for range 40 {
		now = now.Add(tickInterval)
		a.Tick(now)
	}
	_, known = findMember(a, "b")
	require.False(t, known)
}

func TestCoreIgnoresEarlierIncarnations(t *testing.T) {
	c, old, later := newCore("c", 1, startTime), newCore("h", 9, startTime+1), newCore("h", 2, startTime+2)
	receiveRecords(c, host.RecordOf(old))
	receiveRecords(c, host.RecordOf(later))
	old.Update(func(m *cicadapitch.Member) { m.State = cicadapitch.Leaving })
	receiveRecords(c, host.RecordOf(old))
	m, _ := findMember(c, "h")
	require.Equal(t, cicadapitch.Incarnation(2), m.Incarnation)

	other := newCore("d", 1, startTime)
	receiveRecords(other, host.RecordOf(later))
	receiveRecords(other, host.RecordOf(old))
	m, _ = findMember(other, "h")
	require.Equal(t, cicadapitch.Incarnation(2), m.Incarnation, "the earlier incarnation must be ignored when its record arrives second")
}

// The start time of a predecessor whose clock was ahead is later than that of
// the new process, which must be taken for the later incarnation all the same.
func TestCoreSupersedesAPredecessorWithAFastClock(t *testing.T) {
	old, fresh := newCore("h", 9, startTime+5000), newCore("h", 2, startTime)
	receiveRecords(fresh, host.RecordOf(old))
	require.False(t, fresh.Replaced())
	require.Greater(t, fresh.Self().Started, old.Self().Started)
	c := newCore("c", 1, startTime)
	receiveRecords(c, host.RecordOf(old))
	receiveRecords(c, host.RecordOf(fresh))
	m, _ := findMember(c, "h")
	require.Equal(t, cicadapitch.Incarnation(2), m.Incarnation)
}

// A host that answers at the address of a failed one must not keep the failed
// one alive.
func TestCoresRemoveAHostWhoseAddressWasReused(t *testing.T) {
	f := convergedFleet(8, 22)
	old, successor := f.nodes[2], f.nodes[6]
	successor.down = true
	f.runUntil(t, 2*convergenceLimit, f.converged)
	old.down = true
	successor.self.PeerAddress = old.self.PeerAddress
	f.byAddr[old.self.PeerAddress] = successor
	f.start(successor)
	f.runUntil(t, 2*convergenceLimit, f.converged)
}

func TestUpdateRaisesVersionOnlyIfTheRecordChanges(t *testing.T) {
	c := newCore("h", 1, startTime)
	before := c.Self()
	c.Update(func(m *cicadapitch.Member) { m.Running = 5 })
	require.Equal(t, before.Version, c.Self().Version, "a change of load must not change the version")
	c.Update(func(m *cicadapitch.Member) { m.Version, m.Host, m.Revision = 0, "x", 3 })
	require.Equal(t, before.Version+1, c.Self().Version)
	require.Equal(t, before.Host, c.Self().Host)
}

// Two halves that share one host, with no pending updates and no seeds, can
// learn of each other only by comparing digests.
func TestCoresConvergeByComparingDigests(t *testing.T) {
	f := newFleet(9, 21)
	f.startAll()
	cores := lo.Map(f.nodes, func(nd *node, _ int) *host.Core { return nd.core })
	host.Introduce(cores[:5])
	host.Introduce(cores[4:])
	for _, nd := range f.nodes {
		nd.core.SetSeeds(nil)
	}
	f.runUntil(t, 3*convergenceLimit, f.converged)
}
