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

// fleet drives the decisions of many hosts on virtual time. Members hear of
// each other once a second. Watches never say anything, as if their
// connections had gone silent.
type fleet struct {
	clock *cicadapitch.ManualClock
	store *standin.MemoryStore
	hosts []*host
	seen  []cicadapitch.Member
	bytes int
}

type host struct {
	fleet    *fleet
	self     cicadapitch.Member
	follower *configuration.Follower
	spreader *configuration.Syncer
	frozen   bool
}

func (h *host) Self() cicadapitch.Member {
	h.self.Revision = h.follower.Revision()
	if h.follower.Confirmed() {
		h.self.State = cicadapitch.Ready
	}
	return h.self
}

func (h *host) Members() []cicadapitch.Member { return h.fleet.seen }

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
	h.spreader = configuration.NewSyncer(h.follower, f.store, h, h, f.clock)
	f.hosts = append(f.hosts, h)
	return h
}

// run lets m pass, a tick each 250 ms.
func (f *fleet) run(m cicadapitch.Millis) {
	for ; m > 0; m -= 250 {
		f.clock.Advance(250)
		if f.clock.Now()%1000 == 0 {
			f.hear()
		}
		for _, h := range f.hosts {
			if !h.frozen {
				h.step()
			}
		}
	}
}

func (f *fleet) hear() {
	f.seen = nil
	for _, h := range f.hosts {
		m := h.Self()
		if h.frozen {
			m.State = cicadapitch.Suspect
		}
		f.seen = append(f.seen, m)
	}
}

func (h *host) step() {
	for _, c := range h.spreader.Step() {
		if _, silent := c.(configuration.StartWatch); !silent {
			h.spreader.Execute(context.Background(), c)
		}
	}
}

// apply writes a change through any host that reaches the store.
func (f *fleet) apply(t testing.TB, c configuration.Change) {
	_, err := configuration.NewApplier(f.store, clock).Apply(ctx, c)
	require.NoError(t, err)
}

func (f *fleet) have(r cicadapitch.Revision) int {
	n := 0
	for _, h := range f.hosts {
		if h.follower.Revision() >= r {
			n++
		}
	}
	return n
}

// inForceWithin is the bound of the brief for a change to be in force.
const inForceWithin = 6 * cicadapitch.Second

func TestChangeIsInForceEverywhereThoughAllWatchesAreSilent(t *testing.T) {
	f := newFleet(40)
	f.apply(t, configuration.Change{ID: "first", Operator: "ada", Whole: example(3)})
	f.run(inForceWithin)
	require.Equal(t, 40, f.have(1))
	for _, h := range f.hosts {
		require.True(t, h.follower.Confirmed())
	}
	f.apply(t, takeOut("one", "zone-0"))
	f.run(inForceWithin)
	require.Equal(t, 40, f.have(2))
}

func TestChangeSpreadsAndAStartingHostJoinsInAnOutage(t *testing.T) {
	f := newFleet(8)
	f.apply(t, configuration.Change{ID: "first", Operator: "ada", Whole: example(3)})
	f.run(inForceWithin)
	f.apply(t, takeOut("one", "zone-0"))
	for _, h := range f.hosts[:8] {
		if h.follower.Revision() == 1 {
			f.run(250)
		}
		if f.have(2) > 0 {
			break
		}
	}
	require.Positive(t, f.have(2), "a watcher has read it")
	f.store.SetDown(true)
	late := f.start()
	f.run(inForceWithin)
	require.Equal(t, 9, f.have(2))
	require.True(t, late.follower.Confirmed())
}

func TestFrozenWatchersAreReplaced(t *testing.T) {
	f := newFleet(8)
	f.apply(t, configuration.Change{ID: "first", Operator: "ada", Whole: example(3)})
	f.run(inForceWithin)
	f.hear()
	frozen := 0
	for _, h := range f.hosts {
		if configuration.IsWatcher(h.self, f.seen) {
			h.frozen = true
			frozen++
		}
	}
	f.run(cicadapitch.Second)
	f.apply(t, takeOut("one", "zone-0"))
	f.run(inForceWithin)
	require.Equal(t, 8-frozen, f.have(2))
	for _, h := range f.hosts {
		h.frozen = false
	}
	f.run(inForceWithin)
	require.Equal(t, 8, f.have(2), "resumed hosts catch up")
}

func TestStoreCallsDoNotGrowWithTheFleet(t *testing.T) {
	var calls []int64
	for _, n := range []int{8, 80} {
		f := newFleet(n)
		f.apply(t, configuration.Change{ID: "first", Operator: "ada", Whole: example(3)})
		f.run(2 * inForceWithin)
		before := f.store.Calls().Total()
		f.run(cicadapitch.Minute)
		calls = append(calls, f.store.Calls().Total()-before)
	}
	require.Equal(t, calls[0], calls[1])
}

func TestPeerWithAnOldRevisionTakesNobodyBack(t *testing.T) {
	peer, own := configuration.NewFollower(clock), configuration.NewFollower(clock)
	old, latest := example(3), example(3)
	old.Revision, latest.Revision = 4, 5
	latest.Zones[0].Out = true
	require.True(t, peer.InstallIfNewer(old))
	require.True(t, own.InstallIfNewer(latest))
	u, err := peer.UpdateSince(0)
	require.NoError(t, err)
	took, err := own.ApplyUpdate(u)
	require.NoError(t, err)
	require.False(t, took)
	d, err := configuration.NewDelta(latest, old)
	require.NoError(t, err)
	_, err = own.ApplyUpdate(configuration.Update{Deltas: []configuration.Delta{d}})
	require.Equal(t, cicadapitch.Conflict, cicadapitch.KindOf(err))
	require.Equal(t, cicadapitch.Revision(5), own.Revision())
	require.True(t, own.Current().Zones[0].Out)
}

// A chain of deltas must give exactly what its sender has.
func TestDeltasGiveTheSameConfiguration(t *testing.T) {
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

// BenchmarkSpread gives, for one change of one endpoint at each size, the
// virtual time until it is in force everywhere, the bytes that peers sent a
// host, and the store calls.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{8, 40, 340} {
		b.Run(fmt.Sprintf("Hosts=%d", n), func(b *testing.B) {
			f := newFleet(n)
			cfg := example(0)
			for z := range 10 {
				addZone(cfg, z, 290)
			}
			f.apply(b, configuration.Change{ID: "first", Operator: "ada", Whole: cfg})
			f.run(2 * inForceWithin)
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
				t0 := f.clock.Now()
				for f.have(cicadapitch.Revision(i+2)) < n {
					f.run(250)
				}
				worst = max(worst, f.clock.Now().Sub(t0))
				f.run(2 * inForceWithin)
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
