package claim

import (
	"cmp"
	"maps"
	"slices"

	"github.com/samber/lo"
	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// assignment caches the preferred owner of each shard. It is recomputed only if the
// fingerprint of the eligible hosts and the shards changes.
type assignment struct {
	fingerprint uint64
	preferred   map[cicadapitch.ShardID]cicadapitch.Member
}

// advertisement is the claim on a shard that a member advertises.
type advertisement struct {
	member  cicadapitch.Member
	fencing cicadapitch.FencingNumber
	load    cicadapitch.ShardLoad
}

// observeTick records the hosts, regions and claims that a tick shows and recomputes the
// preferred owners.
func (s *State) observeTick(t Tick) {
	for _, m := range t.Members {
		s.hostSeen[m.Host] = t.Now
		if m.State == cicadapitch.Ready || m.State == cicadapitch.Leaving {
			s.regionSeen[m.Region] = t.Now
		}
	}
	if !s.lease.failing {
		maps.DeleteFunc(s.hostSeen, func(_ cicadapitch.HostID, at cicadapitch.Instant) bool {
			return t.Now.Sub(at) > absentHostTimeout
		})
	}
	s.highestAdvertisements = highestAdvertisements(t.Self.Host, t.Members)
	for shard, a := range s.highestAdvertisements {
		if a.member.State != cicadapitch.Suspect {
			s.advertisedAt[shard] = t.Now
		}
	}
	s.trackStoreLoss(t)
	s.updatePreferredOwners(t)
}

// highestAdvertisements returns, for each shard, the advertisement with the highest fencing
// number by a member other than self that is not dead.
func highestAdvertisements(self cicadapitch.HostID, members []cicadapitch.Member) map[cicadapitch.ShardID]advertisement {
	best := make(map[cicadapitch.ShardID]advertisement)
	for _, m := range members {
		if m.State == cicadapitch.Dead || m.Host == self {
			continue
		}
		for _, c := range m.Claims {
			if a, ok := best[c.Shard]; !ok || c.Fencing > a.fencing {
				best[c.Shard] = advertisement{member: m, fencing: c.Fencing, load: c.Load}
			}
		}
	}
	return best
}

// updatePreferredOwners recomputes the preferred owners if the fingerprint has changed.
func (s *State) updatePreferredOwners(t Tick) {
	f := s.fingerprint(t)
	if f == s.assignment.fingerprint && s.assignment.preferred != nil {
		return
	}
	members := s.eligible(t)
	byRegion := lo.GroupBy(members, func(m cicadapitch.Member) cicadapitch.RegionID { return m.Region })
	preferred := make(map[cicadapitch.ShardID]cicadapitch.Member, len(t.Shards))
	for _, loc := range t.Shards {
		candidates := byRegion[loc.Region]
		if s.regionEmpty(t, loc.Region) {
			candidates = members
		}
		if m, ok := PreferredOwner(loc.Shard, candidates); ok {
			preferred[loc.Shard.ID] = m
		}
	}
	s.assignment = assignment{fingerprint: f, preferred: preferred}
}

// trackStoreLoss updates storeLostSince from the members of a tick.
func (s *State) trackStoreLoss(t Tick) {
	seen := make(map[cicadapitch.HostID]bool, len(t.Members))
	for _, m := range t.Members {
		seen[m.Host] = true
		_, noted := s.storeLostSince[m.Host]
		switch {
		case m.StoreUp || m.State != cicadapitch.Ready:
			delete(s.storeLostSince, m.Host)
		case !noted:
			s.storeLostSince[m.Host] = t.Now
		}
	}
	maps.DeleteFunc(s.storeLostSince, func(h cicadapitch.HostID, _ cicadapitch.Instant) bool { return !seen[h] })
}

// eligible returns the members that can claim shards. A host that cannot reach the
// store cannot claim shards. Once it has not reached the store for StoreLossTimeout
// while another member does, it is left out, so that its shards are assigned to others.
// The timeout also keeps the first host of a starting fleet from being assigned every
// shard.
func (s *State) eligible(t Tick) []cicadapitch.Member {
	if !lo.SomeBy(t.Members, func(m cicadapitch.Member) bool { return m.StoreUp }) {
		return t.Members
	}
	return lo.Reject(t.Members, func(m cicadapitch.Member, _ int) bool {
		since, lost := s.storeLostSince[m.Host]
		return lost && t.Now.Sub(since) >= s.policy.StoreLossTimeout
	})
}

// regionEmpty reports whether a region has had no hosts for so long that hosts of
// other regions may own its shards.
func (s *State) regionEmpty(t Tick, r cicadapitch.RegionID) bool {
	last := max(s.started, s.regionSeen[r])
	return t.Now.Sub(last) > s.policy.CrossRegionAfter
}

// fingerprint returns a hash of everything that the assignment depends on.
func (s *State) fingerprint(t Tick) uint64 {
	var sum uint64
	for _, m := range s.eligible(t) {
		if m.State == cicadapitch.Ready {
			// The sum does not depend on the order of the members.
			sum += xxh3.HashString(string(m.Host) + "\x00" + string(m.Zone) + "\x00" + string(m.Region))
		}
	}
	for _, loc := range t.Shards {
		sum += xxh3.HashStringSeed(string(loc.Shard.ID)+"\x00"+string(loc.Shard.Zone)+"\x00"+string(loc.Region), 1)
		if s.regionEmpty(t, loc.Region) {
			sum++
		}
	}
	return sum
}

// acquire returns the command that claims up to ShardsPerCommit of the shards that
// this host should own, unless one is running or the lease is not valid.
func (s *State) acquire(t Tick) []Command {
	l := s.lease
	if s.acquirePending || l.id == 0 || l.failing || t.Now >= l.validUntil || t.Self.State != cicadapitch.Ready {
		return nil
	}
	c := AcquireShards{Lease: l.id, Host: t.Self.Host, Incarnation: t.Self.Incarnation}
	for _, loc := range t.Shards {
		shard := loc.Shard.ID
		if len(c.Shards)+len(c.Reacquire) == s.policy.ShardsPerCommit {
			break
		}
		if !s.shouldAcquire(t, shard) {
			continue
		}
		if o, ok := s.owned[shard]; ok {
			c.Reacquire = append(c.Reacquire, OwnedShard{Shard: shard, Fencing: o.fencing, FencingRevision: o.fencingRevision})
			continue
		}
		c.Shards = append(c.Shards, shard)
	}
	if len(c.Shards)+len(c.Reacquire) == 0 {
		return nil
	}
	s.acquirePending = true
	return []Command{c}
}

// shouldAcquire reports whether this host should claim a shard now.
func (s *State) shouldAcquire(t Tick, shard cicadapitch.ShardID) bool {
	if _, ok := s.releasing[shard]; ok || t.Now < s.retryAt[shard] {
		return false
	}
	if o, ok := s.owned[shard]; ok {
		return o.lease != s.lease.id
	}
	if a, ok := s.highestAdvertisements[shard]; ok && a.member.State != cicadapitch.Suspect {
		return false
	}
	if s.mayBeOwnedWithoutLease(t, shard) {
		return false
	}
	return s.uncertain[shard] || s.assignment.preferred[shard].Host == t.Self.Host
}

// mayBeOwnedWithoutLease reports whether another host may still own a shard without a
// valid lease, because that host extended its ownership in an outage. This is possible
// until OutageClaimDelay has passed since the outage and since the last advertisement of
// the shard.
func (s *State) mayBeOwnedWithoutLease(t Tick, shard cicadapitch.ShardID) bool {
	if s.lastOutage == 0 || t.Now.Sub(s.lastOutage) >= absentHostTimeout {
		return false
	}
	last := max(s.lastOutage, s.advertisedAt[shard])
	return t.Now.Sub(last) < s.policy.OutageClaimDelay
}

// releaseMisplacedShards releases shards whose hand-over is due and shards that are no
// longer configured, at most HandOversPerTick of them.
func (s *State) releaseMisplacedShards(t Tick) []Command {
	configured := lo.SliceToMap(t.Shards, func(loc ShardLocation) (cicadapitch.ShardID, bool) { return loc.Shard.ID, true })
	var cmds []Command
	for _, shard := range s.ownedShards() {
		if len(cmds) >= s.policy.HandOversPerTick {
			break
		}
		if !configured[shard] || s.handOverDue(t, shard) {
			cmds = append(cmds, s.startRelease(shard)...)
		}
	}
	return cmds
}

// handOverDue reports whether the same other host has been the preferred owner of a
// shard for HandOverAfter.
func (s *State) handOverDue(t Tick, shard cicadapitch.ShardID) bool {
	to := s.assignment.preferred[shard].Host
	if to == t.Self.Host || to == "" || s.lease.failing {
		delete(s.handOvers, shard)
		return false
	}
	h, ok := s.handOvers[shard]
	if !ok || h.to != to {
		s.handOvers[shard] = handOver{to: to, since: t.Now}
		return false
	}
	return t.Now.Sub(h.since) >= s.policy.HandOverAfter
}

// ShardLocations returns the shards of a configuration with their regions, sorted by
// shard id.
func ShardLocations(cfg *cicadapitch.Configuration) []ShardLocation {
	regions := lo.SliceToMap(cfg.Zones, func(z cicadapitch.Zone) (cicadapitch.ZoneID, cicadapitch.RegionID) {
		return z.ID, z.Region
	})
	locations := lo.Map(cfg.Shards(), func(s cicadapitch.Shard, _ int) ShardLocation {
		return ShardLocation{Shard: s, Region: regions[s.Zone]}
	})
	slices.SortFunc(locations, func(a, b ShardLocation) int { return cmp.Compare(a.Shard.ID, b.Shard.ID) })
	return locations
}
