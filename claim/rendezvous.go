package claim

import (
	"math"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// zoneWeight is how much more a host of the shard's zone weighs than a host of
// another zone.
const zoneWeight = 100.0

// PreferredOwner returns the member that should own a shard: by weighted rendezvous
// hashing over the ready members, those of the shard's zone preferred. It
// returns false where no member is ready.
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

// score is the weighted rendezvous score -w/ln(u) of a member for a shard, with
// u in (0, 1) drawn from their hash.
func score(shard cicadapitch.Shard, seed uint64, m *cicadapitch.Member) float64 {
	h := xxh3.HashStringSeed(string(m.Host), seed)
	u := (float64(h>>11) + 0.5) / (1 << 53)
	weight := 1.0
	if m.Zone == shard.Zone {
		weight = zoneWeight
	}
	return -weight / math.Log(u)
}
