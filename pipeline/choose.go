package pipeline

import (
	"math"

	"cicadapitch.example/cicadapitch"
	"github.com/zeebo/xxh3"
)

const (
	sampledInZone   = 2
	sampledInRegion = 2
	sampledAnywhere = 1
	maxCandidates   = affinityRanks + sampledInZone + sampledInRegion + sampledAnywhere

	zoneMillis   = 1
	regionMillis = 40

	// likeness is the part of its own attempts that a host takes each other
	// host to have sent to the same shard.
	likeness = 0.5
	// prefixSaving is the part of a service time that a cached prefix saves.
	prefixSaving = 0.5
	// minWaitWeight keeps deadlines from being missed where only cost counts.
	minWaitWeight = 0.6
	// lateWeight makes a completion after the budget worse than any in time.
	lateWeight = 10
)

// ShardState is what a host knows about a shard when it chooses.
type ShardState struct {
	// LoadKnown is false where no load has been heard of.
	LoadKnown bool
	Load  cicadapitch.ShardLoad
	// LoadAge is the span since the load was read.
	LoadAge cicadapitch.Millis
	// Inflight counts this host's own attempts at the shard, and Since those
	// of them that were sent after the load was read.
	Inflight int
	SentSinceLoad    int
}

// ShardQuery asks for a shard.
type ShardQuery struct {
	Prefix string
	Zone   cicadapitch.ZoneID
	Region cicadapitch.RegionID
	// Expected is the typical service time of the stage.
	Expected cicadapitch.Millis
	// Budget is the span in which the stage should end.
	Budget cicadapitch.Millis
	Weight cicadapitch.Weight
	// Hosts counts the entry hosts that choose among the same shards.
	Hosts int
	// Avoid names shards that have failed this request.
	Avoid []cicadapitch.ShardID
	// Random is a random number for the samples.
	Random uint64
}

// Choice is a chosen shard with the completion that is expected there.
type Choice struct {
	Shard   cicadapitch.ShardID
	Zone    cicadapitch.ZoneID
	Wait    cicadapitch.Millis
	Service cicadapitch.Millis
	// PrefixMatch is true where the prefix of the request belongs to the shard.
	PrefixMatch bool

	score float64
	index int32
}

// CompletionTime returns the expected span until the attempt ends.
func (c Choice) CompletionTime() cicadapitch.Millis { return c.Wait + c.Service }

// ChooseShard returns the best of a few candidates: the shards to which the prefix
// belongs and random ones, near ones first. Its cost does not depend on the
// number of shards. It returns false where the group has no shard.
func ChooseShard(g *Group, state func(member int) ShardState, q ShardQuery) (Choice, bool) {
	var seen [maxCandidates]int32
	candidates := g.sample(seen[:0], q)
	best := Choice{index: -1}
	for _, i := range candidates {
		c := g.score(i, state(int(i)), q)
		if best.index < 0 || c.score < best.score {
			best = c
		}
	}
	return best, best.index >= 0
}

func (g *Group) sample(seen []int32, q ShardQuery) []int32 {
	if len(g.Members) == 0 {
		return seen
	}
	if q.Prefix != "" {
		for _, i := range g.affinity[xxh3.HashString(q.Prefix)%affinityBuckets] {
			seen = add(seen, i)
		}
	}
	r := q.Random
	seen, r = draw(seen, g.zones[q.Zone], sampledInZone, r)
	near, ok := g.near[q.Zone]
	if !ok {
		near = g.regions[q.Region]
	}
	seen, r = draw(seen, near, sampledInRegion, r)
	n := sampledAnywhere
	if len(near) == 0 {
		n += sampledInRegion
	}
	for range n {
		r = mix(r + 1)
		seen = add(seen, int32(r%uint64(len(g.Members))))
	}
	return seen
}

// draw adds up to n members of a list, without drawing one twice where the
// list is short.
func draw(seen, list []int32, n int, r uint64) ([]int32, uint64) {
	if len(list) == 0 {
		return seen, r
	}
	r = mix(r + 1)
	start := r % uint64(len(list))
	step := uint64(1)
	if len(list) > 2 {
		step += mix(r) % uint64(len(list)-1)
	}
	for i := range min(n, len(list)) {
		seen = add(seen, list[(start+uint64(i)*step)%uint64(len(list))])
	}
	return seen, r
}

func add(seen []int32, i int32) []int32 {
	if i < 0 || len(seen) == cap(seen) {
		return seen
	}
	for _, s := range seen {
		if s == i {
			return seen
		}
	}
	return append(seen, i)
}

func (g *Group) score(i int32, s ShardState, q ShardQuery) Choice {
	m := &g.Members[i]
	c := Choice{Shard: m.Shard, Zone: m.Zone, index: i}
	c.PrefixMatch = g.affine(i, q.Prefix)
	service := serviceTime(s, q)
	if c.PrefixMatch {
		service *= 1 - prefixSaving
	}
	wait := waitTime(s, m, serviceTime(s, q), q) + distance(m, q)
	c.Wait = cicadapitch.Millis(math.Ceil(wait))
	c.Service = cicadapitch.Millis(math.Ceil(service))
	c.score = max(float64(q.Weight), minWaitWeight)*wait + service
	if late := wait + service - float64(q.Budget); q.Budget > 0 && late > 0 {
		c.score += lateWeight * late
	}
	for _, a := range q.Avoid {
		if a == m.Shard {
			c.score += lateWeight * float64(max(q.Budget, cicadapitch.Minute))
		}
	}
	return c
}

// PrefixShard returns the shard to which a prefix belongs, or an empty id.
func (g *Group) PrefixShard(prefix string) cicadapitch.ShardID {
	i := g.affinity[xxh3.HashString(prefix)%affinityBuckets][0]
	if len(g.Members) == 0 || i < 0 {
		return ""
	}
	return g.Members[i].Shard
}

func (g *Group) affine(i int32, prefix string) bool {
	return prefix != "" && g.affinity[xxh3.HashString(prefix)%affinityBuckets][0] == i
}

func serviceTime(s ShardState, q ShardQuery) float64 {
	if s.LoadKnown && s.Load.ServiceMillis > 0 {
		return float64(s.Load.ServiceMillis)
	}
	return float64(max(q.Expected, 1))
}

// waitTime returns the expected wait for a slot. What has been sent since the
// load was read comes on top of it, and what has ended since then drains it.
func waitTime(s ShardState, m *Member, service float64, q ShardQuery) float64 {
	if !s.LoadKnown {
		return max(float64(s.Inflight+1-m.Endpoints), 0) * service / float64(m.Endpoints)
	}
	slots := float64(s.Load.Total)
	if slots <= 0 {
		return noSlotsWait(service)
	}
	busy := slots - float64(s.Load.Free)
	ended := busy * float64(s.LoadAge) / service
	sent := float64(s.SentSinceLoad) * sentByAll(q.Hosts)
	ahead := float64(s.Load.Queued) + busy + max(sent-ended, -busy-float64(s.Load.Queued))
	return max(ahead+1-slots, 0) * service / slots
}

// sentByAll is what all hosts are taken to have sent for each attempt of this
// host since the load was read. The hosts see the same loads and tend to choose
// alike, but the count of one host says little about the others.
func sentByAll(hosts int) float64 {
	return 1 + likeness*float64(max(hosts-1, 0))
}

// noSlotsWait is the wait at a shard that bears nothing now.
func noSlotsWait(service float64) float64 { return 10*service + float64(cicadapitch.Second) }

func distance(m *Member, q ShardQuery) float64 {
	switch {
	case m.Zone == q.Zone:
		return 0
	case m.Region == q.Region:
		return zoneMillis
	}
	return regionMillis
}
