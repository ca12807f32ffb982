package pipeline

import (
	"cicadapitch.example/cicadapitch"
	"github.com/samber/lo"
	"github.com/zeebo/xxh3"
)

const (
	affinityBuckets = 1024
	affinityRanks   = 2
)

// Member is one shard of a group.
type Member struct {
	Shard  cicadapitch.ShardID
	Zone   cicadapitch.ZoneID
	Region cicadapitch.RegionID
	// Endpoints counts the endpoints in service.
	Endpoints int
}

// Group is the shards of one pool that may be chosen. It is built once for a
// configuration and shared by all decisions.
type Group struct {
	Pool    cicadapitch.PoolID
	Members []Member

	affinity [affinityBuckets][affinityRanks]int32
	zones    map[cicadapitch.ZoneID][]int32
	regions  map[cicadapitch.RegionID][]int32
	// near holds, for each zone, the members in the other zones of its region.
	near map[cicadapitch.ZoneID][]int32
}

// NewGroups returns the groups of all pools of a configuration. Zones and
// endpoints that operators have taken out are left out.
func NewGroups(cfg *cicadapitch.Configuration) map[cicadapitch.PoolID]*Group {
	zones := make(map[cicadapitch.ZoneID]cicadapitch.Zone, len(cfg.Zones))
	for _, z := range cfg.Zones {
		zones[z.ID] = z
	}
	groups := make(map[cicadapitch.PoolID]*Group, len(cfg.Pools))
	for _, p := range cfg.Pools {
		groups[p.ID] = &Group{Pool: p.ID}
	}
	for _, s := range cfg.Shards() {
		z, known := zones[s.Zone]
		g := groups[s.Pool]
		n := inService(s.Endpoints)
		if !known || z.Out || g == nil || n == 0 {
			continue
		}
		g.Members = append(g.Members, Member{Shard: s.ID, Zone: s.Zone, Region: z.Region, Endpoints: n})
	}
	for _, g := range groups {
		g.index()
	}
	return groups
}

func inService(endpoints []cicadapitch.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		if !e.Out {
			n++
		}
	}
	return n
}

func (g *Group) index() {
	g.zones = make(map[cicadapitch.ZoneID][]int32)
	g.regions = make(map[cicadapitch.RegionID][]int32)
	seeds := make([]uint64, len(g.Members))
	for i, m := range g.Members {
		g.zones[m.Zone] = append(g.zones[m.Zone], int32(i))
		g.regions[m.Region] = append(g.regions[m.Region], int32(i))
		seeds[i] = xxh3.HashString(string(m.Shard))
	}
	g.near = make(map[cicadapitch.ZoneID][]int32)
	for zone, own := range g.zones {
		region := g.regions[g.Members[own[0]].Region]
		g.near[zone] = lo.Filter(region, func(i int32, _ int) bool { return g.Members[i].Zone != zone })
	}
	for b := range g.affinity {
		g.affinity[b] = rank(seeds, uint64(b))
	}
}

// rank returns the two members with the highest rendezvous weight for a bucket,
// or -1 where there are fewer.
func rank(seeds []uint64, bucket uint64) [affinityRanks]int32 {
	best := [affinityRanks]int32{-1, -1}
	var weights [affinityRanks]uint64
	for i, seed := range seeds {
		w := mix(seed ^ mix(bucket+1))
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

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
