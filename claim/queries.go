package claim

import (
	"cmp"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// observedLoadTTL is how long a load observed in a response takes precedence over
// the load that the owner advertises.
const observedLoadTTL = 1 * cicadapitch.Second

// Holds returns the fencing number of a shard and whether this host owns the shard
// now. It compares the expiry with the host's own monotonic clock, so it returns
// false from shortly before the lease may have expired, even if no other goroutine
// of the process has run since.
func (m *Manager) Holds(shard cicadapitch.ShardID) (cicadapitch.FencingNumber, bool) {
	h, ok := m.view.Load().owned[shard]
	if !ok || m.clock.Now() >= h.validUntil {
		return 0, false
	}
	return h.fencing, true
}

// Owned returns the claims on the shards that this host owns now, with their loads,
// sorted by shard id.
func (m *Manager) Owned() []cicadapitch.Claim {
	now := m.clock.Now()
	owned := m.view.Load().owned
	list := make([]cicadapitch.Claim, 0, len(owned))
	for shard, h := range owned {
		if now < h.validUntil {
			load, _ := m.ownLoads.get(shard)
			list = append(list, cicadapitch.Claim{Shard: shard, Fencing: h.fencing, Load: load.ShardLoad})
		}
	}
	slices.SortFunc(list, func(a, b cicadapitch.Claim) int { return cmp.Compare(a.Shard, b.Shard) })
	return list
}

// StoreUp reports whether the latest call that granted or renewed the lease was
// answered. Hosts advertise it to their peers.
func (m *Manager) StoreUp() bool { return m.view.Load().storeUp }

// Owner implements cicadapitch.ShardOwners. It returns this host if it owns the
// shard, else a member that advertises the shard and is not suspect, else the
// preferred owner.
func (m *Manager) Owner(shard cicadapitch.ShardID) (cicadapitch.Member, bool) {
	v := m.view.Load()
	if _, ok := m.Holds(shard); ok {
		return v.self, true
	}
	if a, ok := v.advertisements[shard]; ok && a.member.State != cicadapitch.Suspect {
		return a.member, true
	}
	member, ok := v.preferred[shard]
	return member, ok
}

// Load implements cicadapitch.ShardOwners. In order of precedence it returns the
// load set on this host if it owns the shard, a load observed within
// observedLoadTTL, the advertised load, and an older observed load.
func (m *Manager) Load(shard cicadapitch.ShardID) (cicadapitch.ShardLoad, bool) {
	if _, ok := m.Holds(shard); ok {
		if l, ok := m.ownLoads.get(shard); ok {
			return l.ShardLoad, true
		}
	}
	l, seen := m.observedLoads.get(shard)
	if seen && m.clock.Now().Sub(l.at) < observedLoadTTL {
		return l.ShardLoad, true
	}
	if a, ok := m.view.Load().advertisements[shard]; ok {
		return a.load, true
	}
	return l.ShardLoad, seen
}
