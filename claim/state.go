package claim

import (
	"maps"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// State decides which shards one host claims, keeps and releases. It is a state
// machine without I/O or clock: Next turns messages into commands. It is not safe
// for concurrent use.
type State struct {
	policy  Policy
	started cicadapitch.Instant
	// closed is true once a ReleaseRequest for all shards was received. The state
	// then claims nothing.
	closed bool
	// lastTick is the latest tick. Responses between two ticks are evaluated with its
	// members and shards.
	lastTick Tick

	lease leaseState
	owned map[cicadapitch.ShardID]ownership
	// expired holds shards that were lost only because the lease expired. They
	// are restored if it turns out that no other host could have claimed them.
	expired map[cicadapitch.ShardID]ownership
	// uncertain are shards that this host does not own but may still hold a claim
	// on in the store.
	uncertain map[cicadapitch.ShardID]bool
	// releasing are released shards whose claims are still to be deleted.
	releasing map[cicadapitch.ShardID]cicadapitch.StoreRevision
	// releasePending and acquirePending are true while a ReleaseShards and an
	// AcquireShards command are running.
	releasePending bool
	acquirePending bool
	// retryAt is the earliest instant of the next claim on a shard.
	retryAt   map[cicadapitch.ShardID]cicadapitch.Instant
	handOvers map[cicadapitch.ShardID]handOver
	// lastOutage is the latest tick at which the store did not answer, or 0.
	lastOutage cicadapitch.Instant
	// hostSeen is when each host was last among the members. A host counts towards
	// the quorum until absentHostTimeout has passed.
	hostSeen map[cicadapitch.HostID]cicadapitch.Instant
	// regionSeen is when each region last had a ready or leaving host.
	regionSeen map[cicadapitch.RegionID]cicadapitch.Instant
	// storeLostSince is when each ready host that does not reach the store was
	// first observed not to reach it.
	storeLostSince        map[cicadapitch.HostID]cicadapitch.Instant
	assignment            assignment
	highestAdvertisements map[cicadapitch.ShardID]advertisement
	// advertisedAt is when each shard was last advertised by another host that was
	// not suspect.
	advertisedAt map[cicadapitch.ShardID]cicadapitch.Instant
}

// ownership is the claim of this host on one shard.
type ownership struct {
	fencing  cicadapitch.FencingNumber
	revision cicadapitch.StoreRevision
	// fencingRevision is the store revision of the key of the fencing number.
	fencingRevision cicadapitch.StoreRevision
	// lease is the lease that the claim in the store is bound to.
	lease cicadapitch.LeaseID
}

// handOver is the preferred owner of a shard of this host, and since when it has
// been preferred.
type handOver struct {
	to    cicadapitch.HostID
	since cicadapitch.Instant
}

// NewState returns the state of a host that starts at now and owns nothing.
func NewState(now cicadapitch.Instant, p Policy) *State {
	return &State{
		policy:         p,
		started:        now,
		lease:          leaseState{lastTickAt: now},
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

// Next processes a message and returns the resulting commands in order.
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
	s.lastTick = t
	s.observeTick(t)
	cmds := s.endSuperseded()
	cmds = append(cmds, s.extendOrExpire(t)...)
	cmds = append(cmds, s.grantOrRenew(t)...)
	if s.closed {
		return cmds
	}
	cmds = append(cmds, s.releaseMisplacedShards(t)...)
	cmds = append(cmds, s.flushReleases()...)
	return append(cmds, s.acquire(t)...)
}

// endOwnership ends the ownership of a shard on this host. The store is not changed.
func (s *State) endOwnership(shard cicadapitch.ShardID) Command {
	delete(s.owned, shard)
	delete(s.handOvers, shard)
	return NotifyLoss{shard}
}

func (s *State) ownedShards() []cicadapitch.ShardID {
	return slices.Sorted(maps.Keys(s.owned))
}

// endSuperseded ends the ownership of shards that another host advertises with a higher
// fencing number.
func (s *State) endSuperseded() []Command {
	var cmds []Command
	for _, shard := range s.ownedShards() {
		if s.highestAdvertisements[shard].fencing > s.owned[shard].fencing {
			cmds = append(cmds, s.endOwnership(shard))
		}
	}
	for shard, o := range s.expired {
		if s.highestAdvertisements[shard].fencing > o.fencing {
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

// tickAt returns the latest tick with its instant replaced by now.
func (s *State) tickAt(now cicadapitch.Instant) Tick {
	t := s.lastTick
	t.Now = now
	return t
}

// handleAcquireResult updates the ownership of one shard. The claim is uncertain if
// the call failed or if the lease has changed since.
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
		return []Command{s.endOwnership(r.Shard)}
	}
	return nil
}

// recordAcquired stores the ownership of an acquired shard. A shard whose fencing
// number has changed is reported as lost and gained again.
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
		cmds = append(cmds, s.endOwnership(shard))
	}
	if s.lease.id != 0 {
		cmds = append(cmds, RevokeLease{s.lease.id})
	}
	s.lease.id = 0
	return cmds
}

// startRelease ends the ownership of a shard and schedules the deletion of its claim in
// the store.
func (s *State) startRelease(shard cicadapitch.ShardID) []Command {
	o, ok := s.owned[shard]
	if !ok {
		return nil
	}
	s.releasing[shard] = o.revision
	s.retryAt[shard] = s.lastTick.Now.Add(s.policy.HandOverAfter)
	return []Command{s.endOwnership(shard)}
}

// flushReleases returns the command that deletes all scheduled claims, unless one
// is running.
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
