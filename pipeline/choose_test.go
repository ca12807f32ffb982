package pipeline_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newConfiguration returns a configuration with one pool of n endpoints, in
// shards of up to 16 endpoints, over ten zones in three regions.
func newConfiguration(n int) *cicadapitch.Configuration {
	cfg := &cicadapitch.Configuration{Revision: 1, Pools: []cicadapitch.Pool{{ID: "engines"}}}
	const zones, regions, perShard = 10, 3, 16
	for z := range zones {
		cfg.Zones = append(cfg.Zones, cicadapitch.Zone{
			ID:     cicadapitch.ZoneID(fmt.Sprint("z", z)),
			Region: cicadapitch.RegionID(fmt.Sprint("r", z%regions)),
		})
	}
	for e := range n {
		zone := e % min(zones, max(n/perShard, 1))
		cfg.Endpoints = append(cfg.Endpoints, cicadapitch.Endpoint{
			ID:    cicadapitch.EndpointID(fmt.Sprint("e", e)),
			Pool:  "engines",
			Zone:  cicadapitch.ZoneID(fmt.Sprint("z", zone)),
			Shard: cicadapitch.ShardID(fmt.Sprintf("engines-%d-%d", zone, e/perShard/zones)),
		})
	}
	return cfg
}

// query returns a query from a host in zone z0 of region r0.
func query(r *rand.Rand) pipeline.ShardQuery {
	return pipeline.ShardQuery{
		Zone: "z0", Region: "r0", Expected: 100, Budget: 2000, Weight: 0.5, Random: r.Uint64(),
	}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// freeState is the state of a shard with half of its slots free.
func freeState(int) pipeline.ShardState {
	return pipeline.ShardState{LoadKnown: true, Load: cicadapitch.ShardLoad{Free: 8, Total: 16, ServiceMillis: 100}}
}

func TestChooseShardSkipsShardsOutOfService(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := newConfiguration(rapid.IntRange(1, 400).Draw(rt, "endpoints"))
		out := make(map[cicadapitch.ZoneID]bool)
		for i := range cfg.Zones {
			cfg.Zones[i].Out = rapid.Bool().Draw(rt, "out")
			out[cfg.Zones[i].ID] = cfg.Zones[i].Out
		}
		in := make(map[cicadapitch.ShardID]bool)
		for i := range cfg.Endpoints {
			e := &cfg.Endpoints[i]
			e.Out = rapid.Bool().Draw(rt, "endpoint out")
			in[e.Shard] = in[e.Shard] || (!e.Out && !out[e.Zone])
		}
		g := pipeline.NewShardGroups(cfg)["engines"]
		r := newRand(rapid.Uint64().Draw(rt, "seed"))
		for range 20 {
			q := query(r)
			q.Prefix = fmt.Sprint(r.Uint64())
			c, ok := pipeline.ChooseShard(g, freeState, q)
			require.Equal(rt, len(g.Members) > 0, ok)
			if ok {
				require.True(rt, in[c.Shard], "chose %s", c.Shard)
				require.False(rt, out[c.Zone], "chose %s", c.Zone)
			}
		}
	})
}

func TestChooseShardPrefersNearShardsWithFreeSlots(t *testing.T) {
	g := pipeline.NewShardGroups(newConfiguration(320))["engines"]
	r := newRand(1)
	local := 0
	for range 1000 {
		c, _ := pipeline.ChooseShard(g, freeState, query(r))
		if c.Zone == "z0" {
			local++
		}
	}
	require.Equal(t, 1000, local)
	busyInZone := func(i int) pipeline.ShardState {
		s := freeState(i)
		if g.Members[i].Zone == "z0" {
			s.Load.Free, s.Load.Queued = 0, 100
		}
		return s
	}
	for range 1000 {
		c, _ := pipeline.ChooseShard(g, busyInZone, query(r))
		require.NotEqual(t, cicadapitch.ZoneID("z0"), c.Zone)
	}
}

func TestPrefixKeepsItsShardUntilOverloaded(t *testing.T) {
	g := pipeline.NewShardGroups(newConfiguration(320))["engines"]
	r := newRand(2)
	for i := range 200 {
		q := query(r)
		q.Prefix = fmt.Sprint("prefix", i)
		prefixShard := g.PrefixShard(q.Prefix)
		state := func(load cicadapitch.ShardLoad) func(int) pipeline.ShardState {
			return func(i int) pipeline.ShardState {
				s := freeState(i)
				if g.Members[i].Shard == prefixShard {
					s.Load = load
				}
				return s
			}
		}
		for i, m := range g.Members {
			if m.Shard == prefixShard {
				q.Region, q.Zone = g.Members[i].Region, g.Members[i].Zone
			}
		}
		c, _ := pipeline.ChooseShard(g, state(cicadapitch.ShardLoad{Free: 1, Total: 16, ServiceMillis: 100}), q)
		require.Equal(t, prefixShard, c.Shard)
		require.True(t, c.FirstForPrefix)
		c, _ = pipeline.ChooseShard(g, state(cicadapitch.ShardLoad{Total: 16, Queued: 64, ServiceMillis: 100}), q)
		require.NotEqual(t, prefixShard, c.Shard)
	}
}

// Taking a shard out of service must reassign only the prefixes of that shard,
// since each reassigned prefix loses its cache.
func TestRemovedShardReassignsOnlyItsPrefixes(t *testing.T) {
	cfg := newConfiguration(320)
	before := pipeline.NewShardGroups(cfg)["engines"]
	removed := before.Members[3].Shard
	for i := range cfg.Endpoints {
		cfg.Endpoints[i].Out = cfg.Endpoints[i].Shard == removed
	}
	after := pipeline.NewShardGroups(cfg)["engines"]
	moved := 0
	const prefixes = 2000
	for i := range prefixes {
		p := fmt.Sprint("prefix", i)
		if a, b := before.PrefixShard(p), after.PrefixShard(p); a != b {
			require.Equal(t, removed, a)
			moved++
		}
	}
	require.Less(t, moved, 2*prefixes/len(before.Members))
}

// Entry hosts that choose from the same stale load report must not overload one
// shard. A random choice would put 1.8 times the mean on the fullest shard.
func TestHostsWithTheSameLoadReportSpreadAttempts(t *testing.T) {
	g := pipeline.NewShardGroups(newConfiguration(320))["engines"]
	r := newRand(3)
	const hosts, each = 8, 20
	counts := make([]int, len(g.Members))
	for range hosts {
		ownCounts := make([]int, len(g.Members))
		for range each {
			q := query(r)
			q.Zone, q.Region = "", ""
			c, _ := pipeline.ChooseShard(g, func(i int) pipeline.ShardState {
				s := freeState(i)
				s.Load.Free = 0
				s.Inflight, s.SentSinceLoad = ownCounts[i], ownCounts[i]
				return s
			}, q)
			for i, m := range g.Members {
				if m.Shard == c.Shard {
					ownCounts[i]++
					counts[i]++
				}
			}
		}
	}
	mean := float64(hosts*each) / float64(len(g.Members))
	for i, n := range counts {
		require.Less(t, float64(n), 1.5*mean, "shard %d", i)
	}
}

func TestExpectedWaitFallsWithLoadAge(t *testing.T) {
	g := pipeline.NewShardGroups(newConfiguration(1))["engines"]
	var previous cicadapitch.Millis = 1 << 40
	for _, age := range []cicadapitch.Millis{0, 1000, 4000} {
		c, _ := pipeline.ChooseShard(g, func(int) pipeline.ShardState {
			return pipeline.ShardState{LoadKnown: true, LoadAge: age, Load: cicadapitch.ShardLoad{Total: 1, Queued: 50, ServiceMillis: 100}}
		}, query(newRand(1)))
		require.Less(t, c.Wait, previous)
		previous = c.Wait
	}
}

func TestChooseShardDoesNotAllocate(t *testing.T) {
	for _, n := range []int{10, 2900} {
		g := pipeline.NewShardGroups(newConfiguration(n))["engines"]
		q := query(newRand(1))
		q.Prefix = "rules"
		require.Zero(t, testing.AllocsPerRun(100, func() { pipeline.ChooseShard(g, freeState, q) }))
	}
}

func BenchmarkChooseShard(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2900} {
		g := pipeline.NewShardGroups(newConfiguration(n))["engines"]
		b.Run(fmt.Sprintf("endpoints=%d/shards=%d", n, len(g.Members)), func(b *testing.B) {
			b.ReportAllocs()
			q := query(newRand(1))
			q.Prefix = "rules"
			for i := range b.N {
				q.Random = uint64(i)
				pipeline.ChooseShard(g, freeState, q)
			}
		})
	}
}

func BenchmarkNewGroups(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2900} {
		cfg := newConfiguration(n)
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				pipeline.NewShardGroups(cfg)
			}
		})
	}
}
