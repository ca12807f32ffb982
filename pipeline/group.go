package pipeline

import (
	"cicadapitch.example/cicadapitch"
	"github.com/samber/lo"
	"github.com/zeebo/xxh3"
)

const (
	// affinityBuckets is the number of hash buckets of prefixes.
	affinityBuckets = 1024
	// affinityRanks is the number of shards assigned to a prefix.
	affinityRanks = 2
)

// GroupShard is one shard of a ShardGroup.
type GroupShard struct {
	Shard  cicadapitch.ShardID
	Zone   cicadapitch.ZoneID
	Region cicadapitch.RegionID
	// Endpoints is the number of endpoints in service.
	Endpoints int
}

// ShardGroup is the set of shards of one pool that are in service. It is built
// once for each configuration, is not changed afterwards and may be used
// concurrently.
type ShardGroup struct {
	Pool    cicadapitch.PoolID
	Members []GroupShard

	// affinity holds, for each bucket of prefix hashes, the indexes of the
	// shards assigned to it, -1 for none.
	affinity [affinityBuckets][affinityRanks]int32
	// zoneMembers and regionMembers hold the indexes of the members in each
	// zone and region.
	zoneMembers   map[cicadapitch.ZoneID][]int32
	regionMembers map[cicadapitch.RegionID][]int32
	// otherZoneMembers holds, for each zone, the indexes of the members in the
	// other zones of its region.
	otherZoneMembers map[cicadapitch.ZoneID][]int32
}

// NewShardGroups returns a group for each pool of a configuration. It skips
// zones and endpoints that operators have taken out of service.
func NewShardGroups(cfg *cicadapitch.Configuration) map[cicadapitch.PoolID]*ShardGroup {
	zones := make(map[cicadapitch.ZoneID]cicadapitch.Zone, len(cfg.Zones))
	for _, z := range cfg.Zones {
		zones[z.ID] = z
	}
	groups := make(map[cicadapitch.PoolID]*ShardGroup, len(cfg.Pools))
	for _, p := range cfg.Pools {
		groups[p.ID] = &ShardGroup{Pool: p.ID}
	}
	for _, s := range cfg.Shards() {
		z, known := zones[s.Zone]
		g := groups[s.Pool]
		n := countInService(s.Endpoints)
		if !known || z.Out || g == nil || n == 0 {
			continue
		}
		g.Members = append(g.Members, GroupShard{Shard: s.ID, Zone: s.Zone, Region: z.Region, Endpoints: n})
	}
	for _, g := range groups {
		g.buildIndex()
	}
	return groups
}

// countInService returns the number of endpoints in service.
func countInService(endpoints []cicadapitch.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		if !e.Out {
			n++
		}
	}
	return n
}

// buildIndex fills the lookup tables of the group from Members.
func (g *ShardGroup) buildIndex() {
	g.zoneMembers = make(map[cicadapitch.ZoneID][]int32)
	g.regionMembers = make(map[cicadapitch.RegionID][]int32)
	hashes := make([]uint64, len(g.Members))
	for i, m := range g.Members {
		g.zoneMembers[m.Zone] = append(g.zoneMembers[m.Zone], int32(i))
		g.regionMembers[m.Region] = append(g.regionMembers[m.Region], int32(i))
		hashes[i] = xxh3.HashString(string(m.Shard))
	}
	g.otherZoneMembers = make(map[cicadapitch.ZoneID][]int32)
	for zone, own := range g.zoneMembers {
		region := g.regionMembers[g.Members[own[0]].Region]
		g.otherZoneMembers[zone] = lo.Filter(region, func(i int32, _ int) bool { return g.Members[i].Zone != zone })
	}
	for b := range g.affinity {
		g.affinity[b] = topRendezvous(hashes, uint64(b))
	}
}

// topRendezvous returns the indexes of the two members with the highest
// rendezvous hash for a bucket, -1 in place of a missing one. Adding or
// removing a member thus changes the assignment of few prefixes.
func topRendezvous(hashes []uint64, bucket uint64) [affinityRanks]int32 {
	best := [affinityRanks]int32{-1, -1}
	var weights [affinityRanks]uint64
	for i, hash := range hashes {
		w := mixBits(hash ^ mixBits(bucket+1))
		switch {
		case best[0] < 0 || w > weights[0]:
			best[1], weights[1] = best[0], weights[0]
			best[0], weights[0] = int32(i), w
		case best[1] < 0 || w > weights[1]:
			best[1], weights[1] = int32(i), w
		}
	}
	return best
}

// mixBits is the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
