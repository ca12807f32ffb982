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

// exchangeBytes is what a ping and its answer take besides their CBOR: the
// frames of package peer, WebSocket headers, TCP/IP headers with timestamps,
// the last acknowledgement, and the probe of an idle connection.
const exchangeBytes = 84 + 70 + 52 + 140

const tickInterval cicadapitch.Millis = 100

// fleet runs cores on virtual time over a network with loss and delay.
type fleet struct {
	now    cicadapitch.Instant
	queue  map[cicadapitch.Instant][]func()
	rand   *rand.Rand
	loss   float64
	nodes  []*node
	byAddr map[string]*node
	// cut tells whether messages between two hosts are lost.
	cut func(a, b *node) bool
	// fetch is how long a host takes to have a revision in force after it
	// has heard of it, 0 for never.
	fetch cicadapitch.Millis
	// falsely counts suspicions and deaths of running hosts as others see them.
	falsely map[cicadapitch.HostState]int
}

type node struct {
	core   *host.Core
	self   cicadapitch.Member
	seeds  []string
	life   int
	down   bool
	bytes  int
	pings  int
	seen   uint64
	states map[cicadapitch.HostID]cicadapitch.HostState
	forced cicadapitch.Instant
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{
		now: 1_000_000, rand: rand.New(rand.NewPCG(seed, 1)), byAddr: make(map[string]*node),
		queue:   make(map[cicadapitch.Instant][]func()),
		cut:     func(_, _ *node) bool { return false },
		falsely: make(map[cicadapitch.HostState]int),
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

// start begins a new incarnation of a host.
func (f *fleet) start(nd *node) {
	nd.life++
	nd.down = false
	nd.self.Incarnation = cicadapitch.Incarnation(f.rand.Uint64())
	nd.states = make(map[cicadapitch.HostID]cicadapitch.HostState)
	nd.core = host.NewCore(nd.self, nd.seeds, f.rand.Uint64(), f.now)
	nd.forced = 0
	life := nd.life
	var again func()
	again = func() {
		if nd.life != life {
			return
		}
		if !nd.down {
			f.send(nd, nd.core.Tick(f.now))
			f.look(nd)
			f.follow(nd)
		}
		f.after(tickInterval, again)
	}
	f.after(cicadapitch.Millis(f.rand.Int64N(int64(tickInterval))), again)
}

func (f *fleet) startAll() {
	for _, nd := range f.nodes {
		f.start(nd)
	}
}

func (f *fleet) after(m cicadapitch.Millis, run func()) {
	at := f.now.Add(m)
	f.queue[at] = append(f.queue[at], run)
}

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

func (f *fleet) lost(a, b *node) bool {
	return a.down || b.down || f.cut(a, b) || f.rand.Float64() < f.loss
}

func (f *fleet) send(from *node, cmds []host.Command) {
	for _, cmd := range cmds {
		life := from.life
		f.exchange(from, cmd, func(a host.Ack, ok bool) {
			if from.life != life || from.down {
				return
			}
			if ok {
				f.send(from, from.core.Answered(f.now, cmd, a))
			} else {
				f.send(from, from.core.Failed(f.now, cmd.ID))
			}
			f.follow(from)
		})
	}
}

// exchange carries a ping and its answer, or tells of the timeout.
func (f *fleet) exchange(from *node, cmd host.Command, then func(host.Ack, bool)) {
	done := false
	finish := func(a host.Ack, ok bool) {
		if !done {
			done = true
			then(a, ok)
		}
	}
	f.after(cmd.Timeout, func() { finish(host.Ack{}, false) })
	to := f.byAddr[cmd.Address]
	size := sizeOf(cmd.Ping)
	from.pings++
	from.bytes += size + exchangeBytes
	if to == nil || f.lost(from, to) {
		return
	}
	f.after(f.delay(from, to), func() {
		if to.down {
			return
		}
		to.bytes += size + exchangeBytes
		ack, cmds := to.core.Receive(f.now, cmd.Ping)
		f.send(to, cmds)
		f.follow(to)
		answer := func() {
			size := sizeOf(ack)
			to.bytes += size
			if f.lost(to, from) {
				return
			}
			f.after(f.delay(to, from), func() {
				from.bytes += size
				finish(ack, true)
			})
		}
		if cmd.Ping.Target == "" {
			answer()
			return
		}
		relay := to.core.Relay(cmd.Ping.Target)
		f.exchange(to, relay, func(a host.Ack, ok bool) {
			if ok {
				f.send(to, to.core.Answered(f.now, relay, a))
			}
			ack.Reached = ok && cmd.Ping.Reaches(a)
			answer()
		})
	})
}

// look notes what has changed for a host.
func (f *fleet) look(nd *node) {
	if nd.core.Changes() == nd.seen {
		return
	}
	nd.seen = nd.core.Changes()
	for _, m := range nd.core.Members() {
		old := nd.states[m.Host]
		if m.State == cicadapitch.Suspect && old != m.State && !f.named(m.Host).down {
			f.falsely[m.State]++
		}
		nd.states[m.Host] = m.State
	}
}

// follow fetches a revision that others have in force.
func (f *fleet) follow(nd *node) {
	if f.fetch == 0 || nd.forced != 0 {
		return
	}
	highest := nd.core.Self().Revision
	for _, m := range nd.core.Members() {
		highest = max(highest, m.Revision)
	}
	if highest == nd.core.Self().Revision {
		return
	}
	nd.forced = -1
	life := nd.life
	f.after(f.fetch, func() {
		if nd.life == life && !nd.down {
			f.force(nd, highest)
		}
	})
}

func (f *fleet) force(nd *node, r cicadapitch.Revision) {
	f.send(nd, nd.core.Update(func(m *cicadapitch.Member) { m.Revision = r }))
	nd.forced = f.now
}

func (f *fleet) named(id cicadapitch.HostID) *node {
	var i int
	_, _ = fmt.Sscanf(string(id), "entry-%d", &i)
	return f.nodes[i]
}

// running returns the hosts that are up.
func (f *fleet) running() []*node {
	var list []*node
	for _, nd := range f.nodes {
		if !nd.down {
			list = append(list, nd)
		}
	}
	return list
}

// agree reports whether every running host sees exactly the running hosts, all
// ready.
func (f *fleet) agree() bool {
	up := f.running()
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

// until runs until the condition holds and returns the span, or fails.
func (f *fleet) until(t testing.TB, limit cicadapitch.Millis, condition func() bool) cicadapitch.Millis {
	t.Helper()
	start := f.now
	for f.now.Sub(start) < limit {
		if condition() {
			return f.now.Sub(start)
		}
		f.run(tickInterval)
	}
	require.True(t, condition(), "not within %d ms", limit)
	return limit
}

// traffic runs for m and returns the bytes a second, sent and received, of the
// mean host and of the busiest, and the mean pings a second.
func (f *fleet) traffic(m cicadapitch.Millis) (mean, most, pings float64) {
	for _, nd := range f.nodes {
		nd.bytes, nd.pings = 0, 0
	}
	f.run(m)
	seconds := float64(m) / 1000
	up := f.running()
	for _, nd := range up {
		mean += float64(nd.bytes) / seconds / float64(len(up))
		most = max(most, float64(nd.bytes)/seconds)
		pings += float64(nd.pings) / seconds / float64(len(up))
	}
	return mean, most, pings
}

func sizeOf(v any) int {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}
