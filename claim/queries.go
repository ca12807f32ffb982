package claim

import (
	"cmp"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// observedFor is how long a load that came with an answer goes before the load
// that the owner advertises.
const observedLoadTTL = 1 * cicadapitch.Second

// Holds returns the fencing number of a shard that this host owns now. It is
// false from shortly before the lease may have run out, by the host's own
// monotonic clock, also while nothing else of this process gets to run.
func (c *Manager) Holds(shard cicadapitch.ShardID) (cicadapitch.FencingNumber, bool) {
	h, ok := c.view.Load().owned[shard]
	if !ok || c.clock.Now() >= h.validUntil {
		return 0, false
	}
	return h.fencing, true
}

// Owned returns the shards that this host owns now, by id.
func (c *Manager) Owned() []cicadapitch.Claim {
	now := c.clock.Now()
	owned := c.view.Load().owned
	list := make([]cicadapitch.Claim, 0, len(owned))
	for shard, h := range owned {
		if now < h.validUntil {
			load, _ := c.loads.get(shard)
			list = append(list, cicadapitch.Claim{Shard: shard, Fencing: h.fencing, Load: load.ShardLoad})
		}
	}
	slices.SortFunc(list, func(a, b cicadapitch.Claim) int { return cmp.Compare(a.Shard, b.Shard) })
	return list
}

// StoreUp tells whether the last call for the lease was answered. Hosts tell
// it their peers.
func (c *Manager) StoreUp() bool { return c.view.Load().storeUp }

// Owner implements cicadapitch.ShardOwners.
func (c *Manager) Owner(shard cicadapitch.ShardID) (cicadapitch.Member, bool) {
	v := c.view.Load()
	if _, ok := c.Holds(shard); ok {
		return v.self, true
	}
	if a, ok := v.advertisements[shard]; ok && a.member.State != cicadapitch.Suspect {
		return a.member, true
	}
	m, ok := v.preferred[shard]
	return m, ok
}

// Load implements cicadapitch.ShardOwners.
func (c *Manager) Load(shard cicadapitch.ShardID) (cicadapitch.ShardLoad, bool) {
	if _, ok := c.Holds(shard); ok {
		if l, ok := c.loads.get(shard); ok {
			return l.ShardLoad, true
		}
	}
	l, seen := c.observed.get(shard)
	if seen && c.clock.Now().Sub(l.at) < observedLoadTTL {
		return l.ShardLoad, true
	}
	if a, ok := c.view.Load().advertisements[shard]; ok {
		return a.load, true
	}
	return l.ShardLoad, seen
}
