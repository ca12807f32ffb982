package batch

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
)

const (
	// minShardedEndpoints is the minimum number of endpoints of a service that is
	// divided by zone. One owner can't plan the pieces of a large fleet alone.
	minShardedEndpoints = 12
	// minZoneEndpoints is the minimum number of endpoints in every zone of a
	// divided service. With fewer, a single owner of all zones fills calls better.
	minZoneEndpoints = 3
	// crossZoneWait is how much longer a job waits to stay in its zone.
	crossZoneWait cicadapitch.Millis = 30
	// largeTransferWait is the same for a job that would move at least
	// largeTransfer bytes to another zone.
	largeTransferWait cicadapitch.Millis = 200
)

// Shard is the part of a stage service that one host owns: a whole service, or
// its endpoints in one zone.
type Shard struct {
	Service catalog.ServiceID
	// Zone is empty if the service is not divided by zone.
	Zone cicadapitch.ZoneID
}

// Key returns a text that identifies the shard.
func (s Shard) Key() string {
	if s.Zone == "" {
		return string(s.Service)
	}
	return string(s.Service) + "/" + string(s.Zone)
}

// ShardsOf returns the shards of a service, without those of zones that have no
// endpoint in service. Whether the service is divided depends on all known
// endpoints, in service or not, so that taking a zone out of service does not
// reassign the other shards.
func ShardsOf(s catalog.ServiceID, v *fleet.View) []Shard {
	counts, total := v.EndpointCounts(s), 0
	for _, n := range counts {
		total += n
		if n < minZoneEndpoints {
			return []Shard{{Service: s}}
		}
	}
	if total < minShardedEndpoints || len(counts) < 2 {
		return []Shard{{Service: s}}
	}
	zones := lo.Uniq(lo.Map(v.Endpoints(s), func(e fleet.Endpoint, _ int) cicadapitch.ZoneID { return e.Zone }))
	if len(zones) == 0 {
		return []Shard{{Service: s}}
	}
	return lo.Map(zones, func(z cicadapitch.ZoneID, _ int) Shard { return Shard{s, z} })
}

// Contains reports whether an endpoint belongs to the shard.
func (s Shard) Contains(e catalog.Endpoint) bool {
	return e.Service == s.Service && (s.Zone == "" || s.Zone == e.Zone)
}

// ChooseShard returns the shard of the preferred zone, unless another one has a
// much shorter wait. A job that moves many bytes between zones accepts a longer
// wait for its own zone. wait returns the estimated wait of a shard. shards must
// not be empty.
func ChooseShard(
	shards []Shard, zone cicadapitch.ZoneID, moveBytes cicadapitch.Bytes, wait func(Shard) cicadapitch.Millis,
) Shard {
	adjustedWait := func(s Shard) cicadapitch.Millis {
		switch {
		case s.Zone == zone:
			return wait(s)
		case moveBytes >= largeTransfer:
			return wait(s) + largeTransferWait
		}
		return wait(s) + crossZoneWait
	}
	return slices.MinFunc(shards, func(a, b Shard) int { return cmp.Compare(adjustedWait(a), adjustedWait(b)) })
}
