package claim

import (
	"math"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// zoneWeight is how much more a host of the shard's zone weighs than a host of
// another zone of its region.
const zoneWeight = 100.0

// Winner returns the member that should own a shard: by weighted rendezvous
// hashing over the ready members of the shard's region, those of its zone
// preferred. It returns false where the region has no ready member.
func Winner(shard cicadapitch.Shard, region cicadapitch.RegionID, members []cicadapitch.Member) (cicadapitch.Member, bool) {
	var best cicadapitch.Member
	bestScore := math.Inf(-1)
	for _, m := range members {
		if m.State != cicadapitch.Ready || (region != "" && m.Region != region) {
			continue
		}
		if s := score(shard, m); s > bestScore {
			best, bestScore = m, s
		}
	}
	return best, !math.IsInf(bestScore, -1)
}

// score is the weighted rendezvous score -w/ln(u) of a member for a shard, with
// u in (0, 1) drawn from their hash.
func score(shard cicadapitch.Shard, m cicadapitch.Member) float64 {
	h := xxh3.HashStringSeed(string(m.Host), xxh3.HashString(string(shard.ID)))
	u := (float64(h>>11) + 0.5) / (1 << 53)
	weight := 1.0
	if m.Zone == shard.Zone {
		weight = zoneWeight
	}
	return -weight / math.Log(u)
}
