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
	// minShardedEndpoints is the number of endpoints from which a service is
	// divided by zone, so that no single owner has to plan the pieces of a whole
	// large fleet.
	minShardedEndpoints = 12
	// minZoneEndpoints is the number of endpoints that each zone needs for that.
	// With fewer, calls are filled better by one owner.
	minZoneEndpoints = 3
	// crossZoneWait is the additional wait that a job accepts to stay in its
	// zone, and largeTransferWait the one if many bytes would move.
	crossZoneWait     cicadapitch.Millis = 30
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

// ShardsOf returns the shards of a service. Whether it is divided depends on all
// known endpoints, including those that may not get work now. Otherwise a zone
// that is out of service for a while would change the owners twice.
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
	cost := func(s Shard) cicadapitch.Millis {
		switch {
		case s.Zone == zone:
			return wait(s)
		case moveBytes >= largeTransfer:
			return wait(s) + largeTransferWait
		}
		return wait(s) + crossZoneWait
	}
	return slices.MinFunc(shards, func(a, b Shard) int { return cmp.Compare(cost(a), cost(b)) })
}
