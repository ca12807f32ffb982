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

	leasing lease
	owned   map[cicadapitch.ShardID]ownership
	// lapsed holds what was lost only because the lease ran out, for the case
	// that nobody else could claim it.
	lapsed map[cicadapitch.ShardID]ownership
	// unsettled are shards that this host may hold in the store although it
	// does not own them.
	unsettled map[cicadapitch.ShardID]bool
	releasing map[cicadapitch.ShardID]cicadapitch.StoreRevision
	inRelease bool
	inClaim   bool
	retryAt   map[cicadapitch.ShardID]cicadapitch.Instant
	handOvers map[cicadapitch.ShardID]handOver
	// outage is when the store last gave no answer.
	outage  cicadapitch.Instant
	known   map[cicadapitch.HostID]cicadapitch.Instant
	regions map[cicadapitch.RegionID]cicadapitch.Instant
	// cutSince is when each ready host that does not reach the store was first
	// seen so.
	cutSince   map[cicadapitch.HostID]cicadapitch.Instant
	placing    placing
	advertised map[cicadapitch.ShardID]advert
	// heard is when a live host last advertised a shard.
	heard map[cicadapitch.ShardID]cicadapitch.Instant
}

// ownership is one owned shard.
type ownership struct {
	fencing  cicadapitch.FencingNumber
	revision cicadapitch.StoreRevision
	// number is the revision of the key that keeps the fencing number.
	number cicadapitch.StoreRevision
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
		policy:    p,
		started:   now,
		leasing:   lease{lastTick: now},
		owned:     make(map[cicadapitch.ShardID]ownership),
		lapsed:    make(map[cicadapitch.ShardID]ownership),
		unsettled: make(map[cicadapitch.ShardID]bool),
		releasing: make(map[cicadapitch.ShardID]cicadapitch.StoreRevision),
		retryAt:   make(map[cicadapitch.ShardID]cicadapitch.Instant),
		handOvers: make(map[cicadapitch.ShardID]handOver),
		heard:     make(map[cicadapitch.ShardID]cicadapitch.Instant),
		known:     make(map[cicadapitch.HostID]cicadapitch.Instant),
		regions:   make(map[cicadapitch.RegionID]cicadapitch.Instant),
		cutSince:  make(map[cicadapitch.HostID]cicadapitch.Instant),
	}
}

// Next takes a message and returns what follows from it.
func (s *State) Next(m Message) []Command {
	switch m := m.(type) {
	case Tick:
		return s.tick(m)
	case LeaseResponse:
		return s.leaseAnswered(m)
	case AcquireResponse:
		return s.claimsAnswered(m)
	case ReleaseResponse:
		s.releaseAnswered(m)
	case ReleaseRequest:
		return s.giveUp(m)
	}
	return nil
}

func (s *State) tick(t Tick) []Command {
	s.last = t
	s.learn(t)
	cmds := s.yield()
	cmds = append(cmds, s.keepOrLose(t)...)
	cmds = append(cmds, s.lease(t)...)
	if s.closed {
		return cmds
	}
	cmds = append(cmds, s.handOver(t)...)
	cmds = append(cmds, s.release()...)
	return append(cmds, s.claim(t)...)
}

// lose gives up a shard on this host.
func (s *State) lose(shard cicadapitch.ShardID) Command {
	delete(s.owned, shard)
	delete(s.handOvers, shard)
	return NotifyLoss{shard}
}

func (s *State) ownedShards() []cicadapitch.ShardID {
	return slices.Sorted(maps.Keys(s.owned))
}

// yield gives up what another host advertises under a higher number.
func (s *State) yield() []Command {
	var cmds []Command
	for _, shard := range s.ownedShards() {
		if s.advertised[shard].fencing > s.owned[shard].fencing {
			cmds = append(cmds, s.lose(shard))
		}
	}
	for shard, o := range s.lapsed {
		if s.advertised[shard].fencing > o.fencing {
			delete(s.lapsed, shard)
		}
	}
	return cmds
}

func (s *State) claimsAnswered(a AcquireResponse) []Command {
	s.inClaim = false
	var cmds []Command
	for _, r := range a.Results {
		cmds = append(cmds, s.claimAnswered(a, r)...)
	}
	return append(cmds, s.claim(s.lastAt(a.Now))...)
}

// lastAt returns the latest tick with a later instant.
func (s *State) lastAt(now cicadapitch.Instant) Tick {
	t := s.last
	t.Now = now
	return t
}

func (s *State) claimAnswered(a AcquireResponse, r AcquireResult) []Command {
	if r.Err != nil || a.Lease != s.leasing.id || s.closed {
		s.retryAt[r.Shard] = a.Now.Add(s.policy.RetryEvery)
		s.unsettled[r.Shard] = true
		return nil
	}
	delete(s.lapsed, r.Shard)
	delete(s.unsettled, r.Shard)
	if r.Acquired {
		return s.won(a.Lease, r)
	}
	s.retryAt[r.Shard] = a.Now.Add(s.policy.RetryEvery)
	if _, ok := s.owned[r.Shard]; ok {
		return []Command{s.lose(r.Shard)}
	}
	return nil
}

func (s *State) won(lease cicadapitch.LeaseID, r AcquireResult) []Command {
	had, ok := s.owned[r.Shard]
	delete(s.retryAt, r.Shard)
	s.owned[r.Shard] = ownership{fencing: r.Fencing, revision: r.Revision, number: r.FencingRevision, lease: lease}
	gain := NotifyGain{cicadapitch.Claim{Shard: r.Shard, Fencing: r.Fencing}}
	switch {
	case ok && had.fencing == r.Fencing:
		return nil
	case ok:
		return []Command{NotifyLoss{r.Shard}, gain}
	}
	return []Command{gain}
}

func (s *State) releaseAnswered(a ReleaseResponse) {
	s.inRelease = false
	if a.Err != nil {
		return
	}
	for _, h := range a.Shards {
		delete(s.releasing, h.Shard)
	}
}

func (s *State) giveUp(g ReleaseRequest) []Command {
	if !g.All {
		return append(s.startRelease(g.Shard), s.release()...)
	}
	s.closed = true
	clear(s.lapsed)
	var cmds []Command
	for _, shard := range s.ownedShards() {
		cmds = append(cmds, s.lose(shard))
	}
	if s.leasing.id != 0 {
		cmds = append(cmds, RevokeLease{s.leasing.id})
	}
	s.leasing.id = 0
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
	return []Command{s.lose(shard)}
}

func (s *State) release() []Command {
	if s.inRelease || len(s.releasing) == 0 {
		return nil
	}
	s.inRelease = true
	var c ReleaseShards
	for _, shard := range slices.Sorted(maps.Keys(s.releasing)) {
		c.Shards = append(c.Shards, StoredClaim{shard, s.releasing[shard]})
	}
	return []Command{c}
}
