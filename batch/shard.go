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
	// shardFrom is the number of endpoints from which a service is divided by
	// zone, so that no owner has to order the pieces of a whole large fleet.
	shardFrom = 12
	// shardLeast is the number of endpoints that each zone needs for that. Calls of
	// fewer are better filled together.
	shardLeast = 3
	// otherZoneWait is the wait that a stage takes upon itself to stay in its
	// zone, and heavyZoneWait where much would move.
	otherZoneWait cicadapitch.Millis = 30
	heavyZoneWait cicadapitch.Millis = 200
)

// Shard is the part of a stage service that has one owner.
type Shard struct {
	Service catalog.ServiceID
	// Zone is set where the service is divided by zone.
	Zone cicadapitch.ZoneID
}

// Key names the shard.
func (s Shard) Key() string {
	if s.Zone == "" {
		return string(s.Service)
	}
	return string(s.Service) + "/" + string(s.Zone)
}

// ShardsOf divides the endpoints of a service that the view shows. Endpoints that
// may get no work now count for whether it is divided: owners would change twice
// for a zone that is out of service for a while.
func ShardsOf(s catalog.ServiceID, v *fleet.View) []Shard {
	known, total := v.Known(s), 0
	for _, n := range known {
		total += n
		if n < shardLeast {
			return []Shard{{Service: s}}
		}
	}
	if total < shardFrom || len(known) < 2 {
		return []Shard{{Service: s}}
	}
	zones := lo.Uniq(lo.Map(v.Endpoints(s), func(e fleet.Endpoint, _ int) cicadapitch.ZoneID { return e.Zone }))
	if len(zones) == 0 {
		return []Shard{{Service: s}}
	}
	return lo.Map(zones, func(z cicadapitch.ZoneID, _ int) Shard { return Shard{s, z} })
}

// Holds reports whether an endpoint belongs to the shard.
func (s Shard) Holds(e catalog.Endpoint) bool {
	return e.Service == s.Service && (s.Zone == "" || s.Zone == e.Zone)
}

// Nearest returns the shard of the wanted zone, unless another has a much shorter
// wait. There must be a shard. A job that moves many bytes between zones waits
// longer to stay in its own.
func Nearest(
	shards []Shard, zone cicadapitch.ZoneID, moves cicadapitch.Bytes, wait func(Shard) cicadapitch.Millis,
) Shard {
	cost := func(s Shard) cicadapitch.Millis {
		switch {
		case s.Zone == zone:
			return wait(s)
		case moves >= heavyMove:
			return wait(s) + heavyZoneWait
		}
		return wait(s) + otherZoneWait
	}
	return slices.MinFunc(shards, func(a, b Shard) int { return cmp.Compare(cost(a), cost(b)) })
}
