package host_test

import (
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/host"
)

const start cicadapitch.Instant = 1_000_000

func newCore(id cicadapitch.HostID, incarnation cicadapitch.Incarnation, started cicadapitch.Instant) *host.Core {
	m := cicadapitch.Member{
		Host: id, Incarnation: incarnation, State: cicadapitch.Ready, PeerAddress: string(id) + ":1", Started: started,
	}
	return host.NewCore(m, nil, 1, start)
}

func stateOf(c *host.Core, id cicadapitch.HostID) (cicadapitch.Member, bool) {
	return lo.Find(c.Members(), func(m cicadapitch.Member) bool { return m.Host == id })
}

func tell(c *host.Core, records ...host.Record) { c.Receive(start, host.Ping{Records: records}) }

func TestCoreGivesASuspectItsTimeAfterAFreeze(t *testing.T) {
	a, b := newCore("a", 1, start), newCore("b", 1, start)
	tell(a, host.RecordOf(b))
	now := start
	for m, _ := stateOf(a, "b"); m.State == cicadapitch.Ready; m, _ = stateOf(a, "b") {
		now = now.Add(tickInterval)
		a.Tick(now)
	}
	now = now.Add(20 * cicadapitch.Second)
	a.Tick(now)
	m, known := stateOf(a, "b")
	require.True(t, known, "the time in which this process was frozen must not count")
	require.Equal(t, cicadapitch.Suspect, m.State)
	for range 40 {
		now = now.Add(tickInterval)
		a.Tick(now)
	}
	_, known = stateOf(a, "b")
	require.False(t, known)
}

func TestCoreNeverGoesBackToAnEarlierIncarnation(t *testing.T) {
	c, old, later := newCore("c", 1, start), newCore("h", 9, start+1), newCore("h", 2, start+2)
	tell(c, host.RecordOf(old))
	tell(c, host.RecordOf(later))
	old.Update(func(m *cicadapitch.Member) { m.State = cicadapitch.Leaving })
	tell(c, host.RecordOf(old))
	m, _ := stateOf(c, "h")
	require.Equal(t, cicadapitch.Incarnation(2), m.Incarnation)

	other := newCore("d", 1, start)
	tell(other, host.RecordOf(later))
	tell(other, host.RecordOf(old))
	m, _ = stateOf(other, "h")
	require.Equal(t, cicadapitch.Incarnation(2), m.Incarnation, "also where the earlier one comes second")
}

func TestCoreOutbidsAPredecessorWithAClockAhead(t *testing.T) {
	old, fresh := newCore("h", 9, start+5000), newCore("h", 2, start)
	tell(fresh, host.RecordOf(old))
	require.False(t, fresh.Replaced())
	require.Greater(t, fresh.Self().Started, old.Self().Started)
	c := newCore("c", 1, start)
	tell(c, host.RecordOf(old))
	tell(c, host.RecordOf(fresh))
	m, _ := stateOf(c, "h")
	require.Equal(t, cicadapitch.Incarnation(2), m.Incarnation)
}

func TestGroupLosesAHostWhoseAddressAnotherTookOver(t *testing.T) {
	f := steadyFleet(8, 22)
	old, heir := f.nodes[2], f.nodes[6]
	heir.down = true
	f.until(t, 2*fewSeconds, f.agree)
	old.down = true
	heir.self.PeerAddress = old.self.PeerAddress
	f.byAddr[old.self.PeerAddress] = heir
	f.start(heir)
	f.until(t, 2*fewSeconds, f.agree)
}

func TestCoreKeepsItsOwnVersions(t *testing.T) {
	c := newCore("h", 1, start)
	before := c.Self()
	c.Update(func(m *cicadapitch.Member) { m.Running = 5 })
	require.Equal(t, before.Version, c.Self().Version, "a load is no new record")
	c.Update(func(m *cicadapitch.Member) { m.Version, m.Host, m.Revision = 0, "x", 3 })
	require.Equal(t, before.Version+1, c.Self().Version)
	require.Equal(t, before.Host, c.Self().Host)
}

func TestCoresCompareWhatTheyKnowWithoutNews(t *testing.T) {
	f := newFleet(9, 21)
	f.startAll()
	cores := lo.Map(f.nodes, func(nd *node, _ int) *host.Core { return nd.core })
	host.Introduce(cores[:5])
	host.Introduce(cores[4:])
	for _, nd := range f.nodes {
		nd.core.SetSeeds(nil)
	}
	f.until(t, 3*fewSeconds, f.agree)
}
