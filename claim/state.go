package claim

import (
	"maps"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// State is what one host knows about the ownership of shards. Its methods do
// no I/O and read no clock.
type State struct {
	policy  Policy
	started cicadapitch.Instant
	closed  bool
	// last is the latest tick, by which answers are judged as well.
	last Tick

	lease leaseState
	owned map[cicadapitch.ShardID]ownership
	// lapsed holds what was lost only because the lease ran out, for the case
	// that nobody else could claim it.
	expired map[cicadapitch.ShardID]ownership
	// unsettled are shards that this host may hold in the store although it
	// does not own them.
	uncertain      map[cicadapitch.ShardID]bool
	releasing      map[cicadapitch.ShardID]cicadapitch.StoreRevision
	releasePending bool
	acquirePending bool
	retryAt        map[cicadapitch.ShardID]cicadapitch.Instant
	handOvers      map[cicadapitch.ShardID]handOver
	// outage is when the store last gave no answer.
	lastOutage cicadapitch.Instant
	hostSeen   map[cicadapitch.HostID]cicadapitch.Instant
	regionSeen map[cicadapitch.RegionID]cicadapitch.Instant
	// cutSince is when each ready host that does not reach the store was first
	// seen so.
	storeLostSince map[cicadapitch.HostID]cicadapitch.Instant
	assignment     assignment
	advertised     map[cicadapitch.ShardID]advertisement
	// heard is when a live host last advertised a shard.
	advertisedAt map[cicadapitch.ShardID]cicadapitch.Instant
}

// ownership is one owned shard.
type ownership struct {
	fencing  cicadapitch.FencingNumber
	revision cicadapitch.StoreRevision
	// number is the revision of the key that keeps the fencing number.
	fencingRevision cicadapitch.StoreRevision
	// lease is the one that the claim in the store hangs on.
	lease cicadapitch.LeaseID
}

// handOver is another host that would own a shard better.
type handOver struct {
	to    cicadapitch.HostID
	since cicadapitch.Instant
}

// NewState returns the state of a host that started now and owns nothing.
func NewState(now cicadapitch.Instant, p Policy) *State {
	return &State{
		policy:         p,
		started:        now,
		lease:          leaseState{lastTick: now},
		owned:          make(map[cicadapitch.ShardID]ownership),
		expired:        make(map[cicadapitch.ShardID]ownership),
		uncertain:      make(map[cicadapitch.ShardID]bool),
		releasing:      make(map[cicadapitch.ShardID]cicadapitch.StoreRevision),
		retryAt:        make(map[cicadapitch.ShardID]cicadapitch.Instant),
		handOvers:      make(map[cicadapitch.ShardID]handOver),
		advertisedAt:   make(map[cicadapitch.ShardID]cicadapitch.Instant),
		hostSeen:       make(map[cicadapitch.HostID]cicadapitch.Instant),
		regionSeen:     make(map[cicadapitch.RegionID]cicadapitch.Instant),
		storeLostSince: make(map[cicadapitch.HostID]cicadapitch.Instant),
	}
}

// Next takes a message and returns what follows from it.
func (s *State) Next(m Message) []Command {
	switch m := m.(type) {
	case Tick:
		return s.handleTick(m)
	case LeaseResponse:
		return s.handleLeaseResponse(m)
	case AcquireResponse:
		return s.handleAcquireResponse(m)
	case ReleaseResponse:
		s.handleReleaseResponse(m)
	case ReleaseRequest:
		return s.handleReleaseRequest(m)
	}
	return nil
}

func (s *State) handleTick(t Tick) []Command {
	s.last = t
	s.updateMembers(t)
	cmds := s.dropSuperseded()
	cmds = append(cmds, s.extendOrExpire(t)...)
	cmds = append(cmds, s.grantOrRenew(t)...)
	if s.closed {
		return cmds
	}
	cmds = append(cmds, s.startHandOvers(t)...)
	cmds = append(cmds, s.flushReleases()...)
	return append(cmds, s.acquire(t)...)
}

// lose gives up a shard on this host.
func (s *State) drop(shard cicadapitch.ShardID) Command {
	delete(s.owned, shard)
	delete(s.handOvers, shard)
	return NotifyLoss{shard}
}

func (s *State) ownedShards() []cicadapitch.ShardID {
	return slices.Sorted(maps.Keys(s.owned))
}

// yield gives up what another host advertises under a higher number.
func (s *State) dropSuperseded() []Command {
	var cmds []Command
	for _, shard := range s.ownedShards() {
		if s.advertised[shard].fencing > s.owned[shard].fencing {
			cmds = append(cmds, s.drop(shard))
		}
	}
	for shard, o := range s.expired {
		if s.advertised[shard].fencing > o.fencing {
			delete(s.expired, shard)
		}
	}
	return cmds
}

func (s *State) handleAcquireResponse(resp AcquireResponse) []Command {
	s.acquirePending = false
	var cmds []Command
	for _, r := range resp.Results {
		cmds = append(cmds, s.handleAcquireResult(resp, r)...)
	}
	return append(cmds, s.acquire(s.tickAt(resp.Now))...)
}

// lastAt returns the latest tick with a later instant.
func (s *State) tickAt(now cicadapitch.Instant) Tick {
	t := s.last
	t.Now = now
	return t
}

func (s *State) handleAcquireResult(resp AcquireResponse, r AcquireResult) []Command {
	if r.Err != nil || resp.Lease != s.lease.id || s.closed {
		s.retryAt[r.Shard] = resp.Now.Add(s.policy.RetryEvery)
		s.uncertain[r.Shard] = true
		return nil
	}
	delete(s.expired, r.Shard)
	delete(s.uncertain, r.Shard)
	if r.Acquired {
		return s.recordAcquired(resp.Lease, r)
	}
	s.retryAt[r.Shard] = resp.Now.Add(s.policy.RetryEvery)
	if _, ok := s.owned[r.Shard]; ok {
		return []Command{s.drop(r.Shard)}
	}
	return nil
}

func (s *State) recordAcquired(lease cicadapitch.LeaseID, r AcquireResult) []Command {
	previous, ok := s.owned[r.Shard]
	delete(s.retryAt, r.Shard)
	s.owned[r.Shard] = ownership{fencing: r.Fencing, revision: r.Revision, fencingRevision: r.FencingRevision, lease: lease}
	gain := NotifyGain{cicadapitch.Claim{Shard: r.Shard, Fencing: r.Fencing}}
	switch {
	case ok && previous.fencing == r.Fencing:
		return nil
	case ok:
		return []Command{NotifyLoss{r.Shard}, gain}
	}
	return []Command{gain}
}

func (s *State) handleReleaseResponse(resp ReleaseResponse) {
	s.releasePending = false
	if resp.Err != nil {
		return
	}
	for _, claim := range resp.Shards {
		delete(s.releasing, claim.Shard)
	}
}

func (s *State) handleReleaseRequest(req ReleaseRequest) []Command {
	if !req.All {
		return append(s.startRelease(req.Shard), s.flushReleases()...)
	}
	s.closed = true
	clear(s.expired)
	var cmds []Command
	for _, shard := range s.ownedShards() {
		cmds = append(cmds, s.drop(shard))
	}
	if s.lease.id != 0 {
		cmds = append(cmds, RevokeLease{s.lease.id})
	}
	s.lease.id = 0
	return cmds
}

// startRelease gives up a shard here and notes it for deletion in the store.
func (s *State) startRelease(shard cicadapitch.ShardID) []Command {
	o, ok := s.owned[shard]
	if !ok {
		return nil
	}
	s.releasing[shard] = o.revision
	s.retryAt[shard] = s.last.Now.Add(s.policy.HandOverAfter)
	return []Command{s.drop(shard)}
}

func (s *State) flushReleases() []Command {
	if s.releasePending || len(s.releasing) == 0 {
		return nil
	}
	s.releasePending = true
	var c ReleaseShards
	for _, shard := range slices.Sorted(maps.Keys(s.releasing)) {
		c.Shards = append(c.Shards, StoredClaim{shard, s.releasing[shard]})
	}
	return []Command{c}
}
