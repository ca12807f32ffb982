package claim

import (
	"math"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// zoneWeight is the weight of a host in the shard's zone. Hosts in other zones have
// weight 1.
const zoneWeight = 100.0

// PreferredOwner returns the ready member that weighted rendezvous hashing selects
// for a shard. Members in the shard's zone have a higher weight. It returns false
// if no member is ready.
func PreferredOwner(shard cicadapitch.Shard, members []cicadapitch.Member) (cicadapitch.Member, bool) {
	best, bestScore := -1, math.Inf(-1)
	seed := xxh3.HashString(string(shard.ID))
	for i := range members {
		if members[i].State != cicadapitch.Ready {
			continue
		}
		if s := score(shard, seed, &members[i]); s > bestScore {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		return cicadapitch.Member{}, false
	}
	return members[best], true
}

// score returns the weighted rendezvous score -w/ln(u) of a member for a shard. u
// is a number in (0, 1) derived from the hash of both.
func score(shard cicadapitch.Shard, seed uint64, m *cicadapitch.Member) float64 {
	h := xxh3.HashStringSeed(string(m.Host), seed)
	u := (float64(h>>11) + 0.5) / (1 << 53)
	weight := 1.0
	if m.Zone == shard.Zone {
		weight = zoneWeight
	}
	return -weight / math.Log(u)
}
