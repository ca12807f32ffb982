package pipeline

import (
	"math"

	"cicadapitch.example/cicadapitch"
	"github.com/zeebo/xxh3"
)

const (
	// Numbers of random candidates from the sender's zone, from its region and
	// from the whole group.
	zoneSamples   = 2
	regionSamples = 2
	groupSamples  = 1
	maxCandidates = affinityRanks + zoneSamples + regionSamples + groupSamples

	// Assumed network round trips to another zone of the region and to another
	// region.
	crossZoneMillis   = 1
	crossRegionMillis = 40

	// otherHostRatio is the assumed number of attempts that each other host has
	// sent to a shard for each attempt that this host has sent there.
	otherHostRatio = 0.5
	// cachedPrefixSaving is the fraction of the service time that a cached
	// prefix saves.
	cachedPrefixSaving = 0.5
	// minWaitWeight is the least weight of a wait. It prevents missed deadlines
	// in a deployment whose Weight counts only cost.
	minWaitWeight = 0.6
	// latenessWeight multiplies the time by which a completion exceeds the
	// budget, so that shards that would finish late score worse than those in
	// time.
	latenessWeight = 10
)

// ShardState is a host's view of a shard.
type ShardState struct {
	// LoadKnown is false until a load report of the shard has arrived.
	LoadKnown bool
	Load      cicadapitch.ShardLoad
	// LoadAge is the time since the sender learned of the load.
	LoadAge cicadapitch.Millis
	// Inflight is the number of this host's unfinished attempts at the shard.
	Inflight int
	// SentSinceLoad is the number of this host's attempts that were sent to the
	// shard after the sender learned of the load.
	SentSinceLoad int
}

// ShardQuery describes the attempt that needs a shard.
type ShardQuery struct {
	// Prefix identifies the beginning of the prompt that a shard may have
	// cached. It is empty if the request has none.
	Prefix string
	// Zone and Region are those of the host that sends the attempt.
	Zone   cicadapitch.ZoneID
	Region cicadapitch.RegionID
	// Expected is the typical service time of the stage.
	Expected cicadapitch.Millis
	// Budget is the time in which the stage should complete, 0 for no target.
	Budget cicadapitch.Millis
	// Weight is the factor of the waiting time in the score, which is at least
	// minWaitWeight. The service time, which stands for the cost, has the factor 1.
	Weight cicadapitch.Weight
	// Hosts is the number of entry hosts that choose among the same shards.
	Hosts int
	// Avoid lists shards on which an attempt of this request has failed.
	Avoid []cicadapitch.ShardID
	// Random is the random number from which the candidates are drawn.
	Random uint64
}

// ShardChoice is the chosen shard with the wait and service time expected
// there.
type ShardChoice struct {
	Shard cicadapitch.ShardID
	Zone  cicadapitch.ZoneID
	// Wait includes the network time to the shard.
	Wait    cicadapitch.Millis
	Service cicadapitch.Millis
	// FirstForPrefix is true if the shard is the first of the shards assigned to
	// the prefix.
	FirstForPrefix bool

	score float64
	index int32
}

// CompletionTime returns the expected time until the attempt ends.
func (c ShardChoice) CompletionTime() cicadapitch.Millis { return c.Wait + c.Service }

// ChooseShard returns the candidate with the best score. The candidates are the
// shards assigned to the prefix and random samples from the zone, the region
// and the whole group. Their number, and so the cost of the choice, does not
// depend on the number of shards. ChooseShard calls state with indexes into
// g.Members. It returns false if the group is empty.
func ChooseShard(g *ShardGroup, state func(member int) ShardState, q ShardQuery) (ShardChoice, bool) {
	var buffer [maxCandidates]int32
	candidates := g.sampleCandidates(buffer[:0], q)
	best := ShardChoice{index: -1}
	for _, i := range candidates {
		c := g.evaluate(i, state(int(i)), q)
		if best.index < 0 || c.score < best.score {
			best = c
		}
	}
	return best, best.index >= 0
}

// sampleCandidates appends the indexes of the candidates to the slice, without
// duplicates and at most up to its capacity.
func (g *ShardGroup) sampleCandidates(candidates []int32, q ShardQuery) []int32 {
	if len(g.Members) == 0 {
		return candidates
	}
	if q.Prefix != "" {
		for _, i := range g.affinity[xxh3.HashString(q.Prefix)%affinityBuckets] {
			candidates = appendUnique(candidates, i)
		}
	}
	r := q.Random
	candidates, r = appendSamples(candidates, g.zoneMembers[q.Zone], zoneSamples, r)
	near, ok := g.otherZoneMembers[q.Zone]
	if !ok {
		near = g.regionMembers[q.Region]
	}
	candidates, r = appendSamples(candidates, near, regionSamples, r)
	n := groupSamples
	if len(near) == 0 {
		n += regionSamples
	}
	for range n {
		r = mixBits(r + 1)
		candidates = appendUnique(candidates, int32(r%uint64(len(g.Members))))
	}
	return candidates
}

// appendSamples appends up to n members of the list, from a random start at a
// random spacing. It picks no position twice, and also returns the next random
// number.
func appendSamples(candidates, list []int32, n int, r uint64) ([]int32, uint64) {
	if len(list) == 0 {
		return candidates, r
	}
	r = mixBits(r + 1)
	start := r % uint64(len(list))
	step := uint64(1)
	if len(list) > 2 {
		step += mixBits(r) % uint64(len(list)-1)
	}
	for i := range min(n, len(list)) {
		candidates = appendUnique(candidates, list[(start+uint64(i)*step)%uint64(len(list))])
	}
	return candidates, r
}

// appendUnique appends a member unless it is negative, already present or the
// slice is full.
func appendUnique(candidates []int32, i int32) []int32 {
	if i < 0 || len(candidates) == cap(candidates) {
		return candidates
	}
	for _, c := range candidates {
		if c == i {
			return candidates
		}
	}
	return append(candidates, i)
}

// evaluate returns the choice of member i with its expected wait, service time and
// score. The score is the weighted wait plus the service time, in milliseconds.
// Lower is better. Shards that would complete after the budget, and shards to
// avoid, get a penalty.
func (g *ShardGroup) evaluate(i int32, s ShardState, q ShardQuery) ShardChoice {
	m := &g.Members[i]
	c := ShardChoice{Shard: m.Shard, Zone: m.Zone, index: i}
	c.FirstForPrefix = g.isFirstForPrefix(i, q.Prefix)
	service := serviceTime(s, q)
	if c.FirstForPrefix {
		service *= 1 - cachedPrefixSaving
	}
	wait := waitTime(s, m, serviceTime(s, q), q) + networkTime(m, q)
	c.Wait = cicadapitch.Millis(math.Ceil(wait))
	c.Service = cicadapitch.Millis(math.Ceil(service))
	c.score = max(float64(q.Weight), minWaitWeight)*wait + service
	if late := wait + service - float64(q.Budget); q.Budget > 0 && late > 0 {
		c.score += latenessWeight * late
	}
	for _, shard := range q.Avoid {
		if shard == m.Shard {
			c.score += latenessWeight * float64(max(q.Budget, cicadapitch.Minute))
		}
	}
	return c
}

// PrefixShard returns the first shard assigned to a prefix, or an empty id if
// the group is empty.
func (g *ShardGroup) PrefixShard(prefix string) cicadapitch.ShardID {
	i := g.affinity[xxh3.HashString(prefix)%affinityBuckets][0]
	if len(g.Members) == 0 || i < 0 {
		return ""
	}
	return g.Members[i].Shard
}

// isFirstForPrefix reports whether the member is the first one assigned to the
// prefix.
func (g *ShardGroup) isFirstForPrefix(i int32, prefix string) bool {
	return prefix != "" && g.affinity[xxh3.HashString(prefix)%affinityBuckets][0] == i
}

// serviceTime returns the reported service time, or the expected one before a
// report has arrived.
func serviceTime(s ShardState, q ShardQuery) float64 {
	if s.LoadKnown && s.Load.ServiceMillis > 0 {
		return float64(s.Load.ServiceMillis)
	}
	return float64(max(q.Expected, 1))
}

// waitTime returns the expected wait for a slot in milliseconds. It adds to the
// reported queue the attempts sent since the load became known, and subtracts
// those that have probably ended since then.
func waitTime(s ShardState, m *GroupShard, service float64, q ShardQuery) float64 {
	if !s.LoadKnown {
		return max(float64(s.Inflight+1-m.Endpoints), 0) * service / float64(m.Endpoints)
	}
	slots := float64(s.Load.Total)
	if slots <= 0 {
		return waitWithoutSlots(service)
	}
	busy := slots - float64(s.Load.Free)
	ended := busy * float64(s.LoadAge) / service
	sent := float64(s.SentSinceLoad) * attemptsPerOwnAttempt(q.Hosts)
	// At most all calls that the load counted can have ended.
	ahead := float64(s.Load.Queued) + busy + max(sent-ended, -busy-float64(s.Load.Queued))
	return max(ahead+1-slots, 0) * service / slots
}

// attemptsPerOwnAttempt returns the assumed number of attempts that all hosts
// together have sent since the load became known, for each attempt of this
// host. Hosts that see the same loads tend to choose the same shards, but one
// host's count is only a weak indication of what the others sent.
func attemptsPerOwnAttempt(hosts int) float64 {
	return 1 + otherHostRatio*float64(max(hosts-1, 0))
}

// waitWithoutSlots returns the assumed wait at a shard that has no slots at
// present.
func waitWithoutSlots(service float64) float64 { return 10*service + float64(cicadapitch.Second) }

// networkTime returns the extra network time from the sender's zone to the
// shard.
func networkTime(m *GroupShard, q ShardQuery) float64 {
	switch {
	case m.Zone == q.Zone:
		return 0
	case m.Region == q.Region:
		return crossZoneMillis
	}
	return crossRegionMillis
}
