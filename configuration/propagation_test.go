package configuration_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/standin"
)

// fleet simulates many hosts on virtual time. Members learn about each other once
// a second. Watches deliver no events, as if their connections had stalled.
type fleet struct {
	clock *cicadapitch.ManualClock
	store *standin.MemoryStore
	hosts []*host
	// members is what all hosts currently know about each other.
	members []cicadapitch.Member
	// bytes is the total size of the updates that peers sent.
	bytes int
}

type host struct {
	fleet    *fleet
	self     cicadapitch.Member
	follower *configuration.Follower
	syncer   *configuration.Syncer
	// frozen is true while the process is suspended.
	frozen bool
}

func (h *host) Self() cicadapitch.Member {
	h.self.Revision = h.follower.Revision()
	if h.follower.Confirmed() {
		h.self.State = cicadapitch.Ready
	}
	return h.self
}

func (h *host) Members() []cicadapitch.Member { return h.fleet.members }

func (h *host) Fetch(_ context.Context, from cicadapitch.Member, have cicadapitch.Revision) (configuration.Update, error) {
	for _, peer := range h.fleet.hosts {
		if peer.self.Host == from.Host && !peer.frozen {
			u, err := peer.follower.UpdateSince(have)
			b, _ := configuration.EncodeUpdate(u)
			h.fleet.bytes += len(b)
			return u, err
		}
	}
	return configuration.Update{}, cicadapitch.NewError(cicadapitch.Unavailable, "no peer", "ask another")
}

func newFleet(n int) *fleet {
	f := &fleet{clock: cicadapitch.NewManualClock(1_000_000)}
	f.store = standin.NewMemoryStore(f.clock)
	for range n {
		f.start()
	}
	return f
}

func (f *fleet) start() *host {
	h := &host{fleet: f, follower: configuration.NewFollower(f.clock)}
	h.self = cicadapitch.Member{Host: cicadapitch.HostID(fmt.Sprintf("h%d", len(f.hosts)))}
	h.syncer = configuration.NewSyncer(h.follower, f.store, h, h, f.clock)
	f.hosts = append(f.hosts, h)
	return h
}

// run advances the clock by m with one tick per 250 ms.
func (f *fleet) run(m cicadapitch.Millis) {
	for ; m > 0; m -= 250 {
		f.clock.Advance(250)
		if f.clock.Now()%1000 == 0 {
			f.updateMembers()
		}
		for _, h := range f.hosts {
			if !h.frozen {
				h.step()
			}
		}
	}
}

func (f *fleet) updateMembers() {
	f.members = nil
	for _, h := range f.hosts {
		m := h.Self()
		if h.frozen {
			m.State = cicadapitch.Suspect
		}
		f.members = append(f.members, m)
	}
}

// step executes all commands of one Step except StartWatch, as if the watch
// delivered no events.
func (h *host) step() {
	for _, c := range h.syncer.Step() {
		if _, watch := c.(configuration.StartWatch); !watch {
			h.syncer.Execute(context.Background(), c)
		}
	}
}

// apply writes a change to the store.
func (f *fleet) apply(t testing.TB, c configuration.Change) {
	_, err := configuration.NewApplier(f.store, clock).Apply(ctx, c)
	require.NoError(t, err)
}

// countInForce returns on how many hosts revision r or a higher one is in force.
func (f *fleet) countInForce(r cicadapitch.Revision) int {
	n := 0
	for _, h := range f.hosts {
		if h.follower.Revision() >= r {
			n++
		}
	}
	return n
}

// maxPropagationTime is the required maximum time until a change is in force on all
// hosts.
const maxPropagationTime = 6 * cicadapitch.Second

func TestChangePropagatesWithoutWatchEvents(t *testing.T) {
	f := newFleet(40)
	f.apply(t, configuration.Change{ID: "first", Operator: "ada", Whole: example(3)})
	f.run(maxPropagationTime)
	require.Equal(t, 40, f.countInForce(1))
	for _, h := range f.hosts {
		require.True(t, h.follower.Confirmed())
	}
	f.apply(t, takeZoneOut("one", "zone-0"))
	f.run(maxPropagationTime)
	require.Equal(t, 40, f.countInForce(2))
}

// TestChangePropagatesDuringStoreOutage stops the store once a watcher has read the
// change. All hosts, including one that starts later, must get it from peers.
func TestChangePropagatesDuringStoreOutage(t *testing.T) {
	f := newFleet(8)
	f.apply(t, configuration.Change{ID: "first", Operator: "ada", Whole: example(3)})
	f.run(maxPropagationTime)
	f.apply(t, takeZoneOut("one", "zone-0"))
	// Run until a host has read the change, for at most 8 ticks.
	for _, h := range f.hosts[:8] {
		if h.follower.Revision() == 1 {
			f.run(250)
		}
		if f.countInForce(2) > 0 {
			break
		}
	}
	require.Positive(t, f.countInForce(2), "no watcher has read the change")
	f.store.SetDown(true)
	newHost := f.start()
	f.run(maxPropagationTime)
	require.Equal(t, 9, f.countInForce(2))
	require.True(t, newHost.follower.Confirmed())
}

// TestFrozenWatchersAreReplaced suspends all watchers. Other hosts must take over
// the store, and the suspended hosts must catch up once they resume.
func TestFrozenWatchersAreReplaced(t *testing.T) {
	f := newFleet(8)
	f.apply(t, configuration.Change{ID: "first", Operator: "ada", Whole: example(3)})
	f.run(maxPropagationTime)
	f.updateMembers()
	frozen := 0
	for _, h := range f.hosts {
		if configuration.IsWatcher(h.self, f.members) {
			h.frozen = true
			frozen++
		}
	}
	f.run(cicadapitch.Second)
	f.apply(t, takeZoneOut("one", "zone-0"))
	f.run(maxPropagationTime)
	require.Equal(t, 8-frozen, f.countInForce(2))
	for _, h := range f.hosts {
		h.frozen = false
	}
	f.run(maxPropagationTime)
	require.Equal(t, 8, f.countInForce(2), "resumed hosts did not catch up")
}

func TestStoreCallsAreIndependentOfFleetSize(t *testing.T) {
	var calls []int64
	for _, n := range []int{8, 80} {
		f := newFleet(n)
		f.apply(t, configuration.Change{ID: "first", Operator: "ada", Whole: example(3)})
		f.run(2 * maxPropagationTime)
		before := f.store.Calls().Total()
		f.run(cicadapitch.Minute)
		calls = append(calls, f.store.Calls().Total()-before)
	}
	require.Equal(t, calls[0], calls[1])
}

func TestUpdateToLowerRevisionIsRejected(t *testing.T) {
	peer, own := configuration.NewFollower(clock), configuration.NewFollower(clock)
	old, latest := example(3), example(3)
	old.Revision, latest.Revision = 4, 5
	latest.Zones[0].Out = true
	require.True(t, peer.InstallIfNewer(old))
	require.True(t, own.InstallIfNewer(latest))
	u, err := peer.UpdateSince(0)
	require.NoError(t, err)
	installed, err := own.ApplyUpdate(u)
	require.NoError(t, err)
	require.False(t, installed)
	d, err := configuration.NewDelta(latest, old)
	require.NoError(t, err)
	_, err = own.ApplyUpdate(configuration.Update{Deltas: []configuration.Delta{d}})
	require.Equal(t, cicadapitch.Conflict, cicadapitch.KindOf(err))
	require.Equal(t, cicadapitch.Revision(5), own.Revision())
	require.True(t, own.Current().Zones[0].Out)
}

// TestDeltaChainGivesSenderConfiguration applies chains of deltas between random
// configurations. The receiver must end up with exactly the sender's configuration.
func TestDeltaChainGivesSenderConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := configuration.NewFollower(clock), configuration.NewFollower(clock)
		for r := range rapid.IntRange(2, 8).Draw(t, "changes") {
			next := example(rapid.IntRange(1, 4).Draw(t, "zones"))
			next.Revision = cicadapitch.Revision(r + 1)
			next.Zones[0].Out = rapid.Bool().Draw(t, "out")
			if rapid.Bool().Draw(t, "swap") {
				next.Endpoints[0], next.Endpoints[1] = next.Endpoints[1], next.Endpoints[0]
			}
			require.True(t, sender.InstallIfNewer(next))
			if rapid.Bool().Draw(t, "fetch") {
				u, err := sender.UpdateSince(receiver.Revision())
				require.NoError(t, err)
				_, err = receiver.ApplyUpdate(u)
				require.NoError(t, err)
				require.Equal(t, sender.Current(), receiver.Current())
			}
		}
	})
}

// FuzzDecode feeds malformed input to the decoders. Decoding, Check and ApplyUpdate
// must not panic.
func FuzzDecode(f *testing.F) {
	b, _ := configuration.Encode(example(1))
	u, _ := configuration.EncodeUpdate(configuration.Update{Whole: b})
	for _, seed := range [][]byte{b, u, b[:len(b)/2], {}, {0x9f}, {0xbf, 0x61}, {0xa1, 0x65, 'Z', 'o', 'n', 'e', 's', 0x9b, 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0}} {
		f.Add(seed)
	}
	f.Fuzz(func(_ *testing.T, b []byte) {
		if cfg, err := configuration.Decode(b); err == nil {
			_ = configuration.Check(cfg)
		}
		if u, err := configuration.DecodeUpdate(b); err == nil {
			_, _ = configuration.NewFollower(clock).ApplyUpdate(u)
		}
	})
}

// BenchmarkPropagation changes one endpoint in fleets of several sizes. It reports
// the size of the configuration, the maximum virtual time until a change is in
// force on all hosts, the bytes that a host receives from peers per change, and
// the store calls per second of virtual time.
func BenchmarkPropagation(b *testing.B) {
	for _, n := range []int{8, 40, 340} {
		b.Run(fmt.Sprintf("Hosts=%d", n), func(b *testing.B) {
			f := newFleet(n)
			cfg := example(0)
			for z := range 10 {
				addZone(cfg, z, 290)
			}
			f.apply(b, configuration.Change{ID: "first", Operator: "ada", Whole: cfg})
			f.run(2 * maxPropagationTime)
			worst, calls, start := cicadapitch.Millis(0), f.store.Calls().Total(), f.clock.Now()
			f.bytes = 0
			for i := range b.N {
				c := configuration.Change{ID: cicadapitch.ChangeID(fmt.Sprint("c", i)), Operator: "ada"}
				c.Mutate = func(cfg *cicadapitch.Configuration) error {
					e := &cfg.Endpoints[i%len(cfg.Endpoints)]
					e.Out = !e.Out
					return nil
				}
				f.apply(b, c)
				applied := f.clock.Now()
				for f.countInForce(cicadapitch.Revision(i+2)) < n {
					f.run(250)
				}
				worst = max(worst, f.clock.Now().Sub(applied))
				f.run(2 * maxPropagationTime)
			}
			span := float64(f.clock.Now().Sub(start)) / 1000
			whole, err := configuration.Encode(f.hosts[0].follower.Current())
			require.NoError(b, err)
			b.ReportMetric(float64(len(whole)), "B/configuration")
			b.ReportMetric(float64(worst), "ms-in-force")
			b.ReportMetric(float64(f.bytes)/float64(n*b.N), "B/host/change")
			b.ReportMetric(float64(f.store.Calls().Total()-calls)/span, "store-calls/s")
		})
	}
}
