package host_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/host"
)

// exchangeOverheadBytes is the size of a ping and its answer on the network
// without their CBOR: the frames of package peer, WebSocket headers, TCP/IP
// headers with timestamps, the last acknowledgement, and the probe of an idle
// connection.
const exchangeOverheadBytes = 84 + 70 + 52 + 140

const tickInterval cicadapitch.Millis = 100

// fleet simulates cores in virtual time on a network with loss and delay.
type fleet struct {
	now   cicadapitch.Instant
	queue map[cicadapitch.Instant][]func()
	rand  *rand.Rand
	// loss is the probability that a message is lost.
	loss   float64
	nodes  []*node
	byAddr map[string]*node
	// partitioned reports whether all messages between two hosts are lost.
	partitioned func(a, b *node) bool
	// fetchDelay is the time from when a host learns of a revision until the
	// host has it in force. With 0 hosts do not fetch revisions.
	fetchDelay cicadapitch.Millis
	// falseSuspicions counts how often a running host was seen as suspected by
	// another. The only key is Suspect.
	falseSuspicions map[cicadapitch.HostState]int
}

type node struct {
	core  *host.Core
	self  cicadapitch.Member
	seeds []string
	// startCount is the number of incarnations so far. Callbacks of earlier
	// ones are ignored.
	startCount  int
	down        bool
	bytes       int
	pings       int
	seenChanges uint64
	states      map[cicadapitch.HostID]cicadapitch.HostState
	// revisionAt is when the host last set a revision. It is 0 before that, and
	// -1 while the host fetches one.
	revisionAt cicadapitch.Instant
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		now: 1_000_000, rand: rand.New(rand.NewPCG(seed, 1)), byAddr: make(map[string]*node),
		queue:           make(map[cicadapitch.Instant][]func()),
		partitioned:     func(_, _ *node) bool { return false },
		falseSuspicions: make(map[cicadapitch.HostState]int),
	}
	for i := range n {
		zone := i % 10
		self := cicadapitch.Member{
			Host:        cicadapitch.HostID(fmt.Sprintf("entry-%03d", i)),
			Zone:        cicadapitch.ZoneID(fmt.Sprintf("zone-%d", zone)),
			Region:      cicadapitch.RegionID(fmt.Sprintf("region-%d", zone%3)),
			State:       cicadapitch.Ready,
			Revision:    1,
			StoreUp:     true,
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7401", i/250, i%250+1),
			CallerURL:   fmt.Sprintf("http://10.0.%d.%d:7400", i/250, i%250+1),
			Claims:      []cicadapitch.Claim{{Shard: cicadapitch.ShardID(fmt.Sprintf("generate-%03d", i)), Fencing: 7}},
		}
		nd := &node{self: self, seeds: []string{"10.0.0.1:7401", "10.0.0.2:7401", "10.0.0.3:7401"}}
		f.nodes = append(f.nodes, nd)
		f.byAddr[self.PeerAddress] = nd
	}
	return f
}

// start starts a new incarnation of a host.
func (f *fleet) start(nd *node) {
	nd.startCount++
	nd.down = false
	nd.self.Incarnation = cicadapitch.Incarnation(f.rand.Uint64())
	nd.states = make(map[cicadapitch.HostID]cicadapitch.HostState)
	nd.core = host.NewCore(nd.self, nd.seeds, f.rand.Uint64(), f.now)
	nd.revisionAt = 0
	startCount := nd.startCount
	var loop func()
	loop = func() {
		if nd.startCount != startCount {
			return
		}
		if !nd.down {
			f.send(nd, nd.core.Tick(f.now))
			f.recordStates(nd)
			f.fetchNewerRevision(nd)
		}
		f.schedule(tickInterval, loop)
	}
	f.schedule(cicadapitch.Millis(f.rand.Int64N(int64(tickInterval))), loop)
}

func (f *fleet) startAll() {
	for _, nd := range f.nodes {
		f.start(nd)
	}
}

// schedule calls run after m of virtual time.
func (f *fleet) schedule(m cicadapitch.Millis, run func()) {
	at := f.now.Add(m)
	f.queue[at] = append(f.queue[at], run)
}

// run advances virtual time by m.
func (f *fleet) run(m cicadapitch.Millis) {
	for end := f.now.Add(m); ; f.now++ {
		for len(f.queue[f.now]) > 0 {
			next := f.queue[f.now][0]
			f.queue[f.now] = f.queue[f.now][1:]
			next()
		}
		delete(f.queue, f.now)
		if f.now == end {
			return
		}
	}
}

func (f *fleet) delay(a, b *node) cicadapitch.Millis {
	if a.self.Region != b.self.Region {
		return 20 + cicadapitch.Millis(f.rand.Int64N(20))
	}
	return 1 + cicadapitch.Millis(f.rand.Int64N(2))
}

// drops reports whether a message from a to b is lost.
func (f *fleet) drops(a, b *node) bool {
	return a.down || b.down || f.partitioned(a, b) || f.rand.Float64() < f.loss
}

func (f *fleet) send(from *node, cmds []host.Command) {
	for _, cmd := range cmds {
		startCount := from.startCount
		f.exchange(from, cmd, func(a host.Ack, ok bool) {
			if from.startCount != startCount || from.down {
				return
			}
			if ok {
				f.send(from, from.core.HandleAck(f.now, cmd, a))
			} else {
				f.send(from, from.core.HandleFailure(f.now, cmd.ID))
			}
			f.fetchNewerRevision(from)
		})
	}
}

// exchange delivers a ping and calls onResult once, with the answer and true, or
// with false after the timeout.
func (f *fleet) exchange(from *node, cmd host.Command, onResult func(host.Ack, bool)) {
	done := false
	finish := func(a host.Ack, ok bool) {
		if !done {
			done = true
			onResult(a, ok)
		}
	}
	f.schedule(cmd.Timeout, func() { finish(host.Ack{}, false) })
	to := f.byAddr[cmd.Address]
	size := sizeOf(cmd.Ping)
	from.pings++
	from.bytes += size + exchangeOverheadBytes
	if to == nil || f.drops(from, to) {
		return
	}
	f.schedule(f.delay(from, to), func() {
		if to.down {
			return
		}
		to.bytes += size + exchangeOverheadBytes
		ack, cmds := to.core.HandlePing(f.now, cmd.Ping)
		f.send(to, cmds)
		f.fetchNewerRevision(to)
		answer := func() {
			size := sizeOf(ack)
			to.bytes += size
			if f.drops(to, from) {
				return
			}
			f.schedule(f.delay(to, from), func() {
				from.bytes += size
				finish(ack, true)
			})
		}
		if cmd.Ping.Target == "" {
			answer()
			return
		}
		relay := to.core.NewRelayedPing(cmd.Ping.Target)
		f.exchange(to, relay, func(a host.Ack, ok bool) {
			if ok {
				f.send(to, to.core.HandleAck(f.now, relay, a))
			}
			ack.Reached = ok && cmd.Ping.TargetAnswered(a)
			answer()
		})
	})
}

// recordStates stores the states of all members as nd sees them, and counts new
// suspicions of running hosts.
func (f *fleet) recordStates(nd *node) {
	if nd.core.Changes() == nd.seenChanges {
		return
	}
	nd.seenChanges = nd.core.Changes()
	for _, m := range nd.core.Members() {
		old := nd.states[m.Host]
		if m.State == cicadapitch.Suspect && old != m.State && !f.nodeOf(m.Host).down {
			f.falseSuspicions[m.State]++
		}
		nd.states[m.Host] = m.State
	}
}

// fetchNewerRevision schedules nd to set the highest revision among its members
// after fetchDelay, unless nd has set or fetched one already.
func (f *fleet) fetchNewerRevision(nd *node) {
	if f.fetchDelay == 0 || nd.revisionAt != 0 {
		return
	}
	highest := nd.core.Self().Revision
	for _, m := range nd.core.Members() {
		highest = max(highest, m.Revision)
	}
	if highest == nd.core.Self().Revision {
		return
	}
	nd.revisionAt = -1
	startCount := nd.startCount
	f.schedule(f.fetchDelay, func() {
		if nd.startCount == startCount && !nd.down {
			f.setRevision(nd, highest)
		}
	})
}

func (f *fleet) setRevision(nd *node, r cicadapitch.Revision) {
	f.send(nd, nd.core.Update(func(m *cicadapitch.Member) { m.Revision = r }))
	nd.revisionAt = f.now
}

func (f *fleet) nodeOf(id cicadapitch.HostID) *node {
	var i int
	_, _ = fmt.Sscanf(string(id), "entry-%d", &i)
	return f.nodes[i]
}

// runningNodes returns the hosts that are not down.
func (f *fleet) runningNodes() []*node {
	var list []*node
	for _, nd := range f.nodes {
		if !nd.down {
			list = append(list, nd)
		}
	}
	return list
}

// converged reports whether every running host sees exactly the running hosts,
// all of them ready.
func (f *fleet) converged() bool {
	up := f.runningNodes()
	for _, nd := range up {
		members := nd.core.Members()
		if len(members) != len(up) {
			return false
		}
		for _, m := range members {
			if m.State != cicadapitch.Ready {
				return false
			}
		}
	}
	return true
}

// runUntil runs the simulation until the condition holds and returns the time
// that it took. It fails the test after limit.
func (f *fleet) runUntil(t testing.TB, limit cicadapitch.Millis, condition func() bool) cicadapitch.Millis {
	t.Helper()
	start := f.now
	for f.now.Sub(start) < limit {
		if condition() {
			return f.now.Sub(start)
		}
		f.run(tickInterval)
	}
	require.True(t, condition(), "the condition does not hold after %d ms", limit)
	return limit
}

// traffic runs the simulation for m. It returns the bytes per second, sent and
// received, as the mean of the hosts and of the busiest host, and the mean pings
// per second and host.
func (f *fleet) traffic(m cicadapitch.Millis) (mean, busiest, pings float64) {
	for _, nd := range f.nodes {
		nd.bytes, nd.pings = 0, 0
	}
	f.run(m)
	seconds := float64(m) / 1000
	up := f.runningNodes()
	for _, nd := range up {
		mean += float64(nd.bytes) / seconds / float64(len(up))
		busiest = max(busiest, float64(nd.bytes)/seconds)
		pings += float64(nd.pings) / seconds / float64(len(up))
	}
	return mean, busiest, pings
}

func sizeOf(v any) int {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}
