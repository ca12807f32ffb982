package claim

import (
	"maps"
	"slices"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// basisSpan is how long a host that is no longer seen counts as one that may
// still run, while the store is up.
const absentHostTimeout = 1 * cicadapitch.Minute

// lease is what a host knows of its own lease.
type leaseState struct {
	id cicadapitch.LeaseID
	// until is the instant, by this host's own clock, after which it starts
	// nothing under the lease.
	validUntil cicadapitch.Instant
	// carry is the same for shards that hang on an earlier lease, which ran
	// out in an outage.
	extendedUntil cicadapitch.Instant
	nextCall      cicadapitch.Instant
	callPending   bool
	// answered is true once a call for the lease was answered.
	everAnswered bool
	// failing is true after a call for the lease gave no answer.
	failing bool
	// extended is true while the host carries on without a lease.
	extended bool
	lastTick cicadapitch.Instant
	// contact is the instant after which a host that hears neither the store
	// nor most of the hosts starts nothing.
	contactUntil cicadapitch.Instant
	// doubt is the instant until which a host that was paused, or that lost
	// its shards while it heard too few hosts, does not carry on without a
	// lease.
	noExtensionUntil cicadapitch.Instant
}

// StoreUp tells whether the last call for the lease was answered. It is false
// before the first one and after the host has given up its lease, since such a
// host knows nothing of the store.
func (s *State) StoreUp() bool {
	return s.lease.everAnswered && !s.lease.failing && !s.closed
}

// until returns the instant after which this host starts nothing for a shard.
func (s *State) validUntil(o ownership) cicadapitch.Instant {
	if s.lease.id != 0 && o.lease == s.lease.id {
		return min(s.lease.validUntil, s.lease.contactUntil)
	}
	return min(s.lease.extendedUntil, s.lease.contactUntil)
}

// keepOrLose extends the validity while the store is down for all, and gives
// up what has run out.
func (s *State) extendOrExpire(t Tick) []Command {
	l := &s.lease
	s.noteQuorum(t)
	if t.Now.Sub(l.lastTick) > s.policy.MaxTickGap && t.Now >= max(l.validUntil, l.extendedUntil) {
		l.noExtensionUntil = t.Now.Add(s.policy.ExtensionDelay)
	}
	l.lastTick = t.Now
	if l.failing {
		s.lastOutage = t.Now
	}
	if t.StoreUp > 0 {
		clear(s.expired)
	}
	if !s.hasQuorum(t) {
		l.extendedUntil = 0
		if len(s.expired) > 0 {
			l.noExtensionUntil = t.Now.Add(s.policy.ExtensionDelay)
		}
	}
	if s.mayExtend(t) {
		l.validUntil = max(l.validUntil, t.Now.Add(s.policy.OutageExtension))
		l.extendedUntil = max(l.extendedUntil, t.Now.Add(s.policy.OutageExtension))
		l.extended = true
		return s.restoreExpired()
	}
	var cmds []Command
	for _, shard := range s.ownedShards() {
		o := s.owned[shard]
		if t.Now < s.validUntil(o) {
			continue
		}
		if l.failing {
			// The lease ran out in an outage that this host has seen. After a
			// pause that began before, others may have claimed the shard.
			s.expired[shard] = o
		}
		s.uncertain[shard] = true
		cmds = append(cmds, s.drop(shard))
	}
	return cmds
}

// mayExtend tells whether nobody can claim the shards of this host: it was not
// paused just now, its own calls fail, and most of the hosts that it knew are
// heard, none of which reaches the store.
func (s *State) mayExtend(t Tick) bool {
	l := s.lease
	if !l.failing || t.Now < l.noExtensionUntil || s.closed {
		return false
	}
	return t.StoreUp == 0 && s.hasQuorum(t)
}

// quorum tells whether this host hears most of the hosts that it knew or that
// are configured. Without configured hosts it is false until a host has had the
// time to hear of others, since it would take itself for all of them.
func (s *State) hasQuorum(t Tick) bool {
	hosts := max(len(s.hostSeen), t.Hosts)
	discovered := t.Hosts > 0 || t.Now.Sub(s.started) >= s.policy.DiscoveryTime
	return discovered && 2*(t.StoreUp+t.StoreDown) > hosts
}

// regain takes back what lapsed in an outage, unless another host has it.
func (s *State) restoreExpired() []Command {
	var cmds []Command
	for _, shard := range slices.Sorted(maps.Keys(s.expired)) {
		if _, ok := s.advertised[shard]; ok {
			continue
		}
		o := s.expired[shard]
		s.owned[shard] = o
		delete(s.expired, shard)
		cmds = append(cmds, NotifyGain{cicadapitch.Claim{Shard: shard, Fencing: o.fencing}})
	}
	return cmds
}

// lease grants or renews the lease when it is time.
func (s *State) grantOrRenew(t Tick) []Command {
	l := &s.lease
	if l.callPending || t.Now < l.nextCall {
		return nil
	}
	if l.id != 0 {
		l.callPending = true
		return []Command{RenewLease{l.id}}
	}
	if s.closed || t.Self.State != cicadapitch.Ready || t.Now < s.started.Add(s.startDelay(t)) {
		return nil
	}
	l.callPending = true
	return []Command{GrantLease{s.policy.leaseTTL(len(t.Members))}}
}

// startDelay lets a host hear of the others before it claims anything, and
// spreads the first calls of a fleet that starts all at once.
func (s *State) startDelay(t Tick) cicadapitch.Millis {
	span := max(1, s.policy.callInterval(len(t.Members)))
	return s.policy.StartDelay + cicadapitch.Millis(xxh3.HashString(string(t.Self.Host))%uint64(span))
}

func (s *State) handleLeaseResponse(resp LeaseResponse) []Command {
	l := &s.lease
	l.callPending = false
	l.everAnswered = l.everAnswered || resp.Err == nil
	switch {
	case resp.Err == nil && s.closed:
		return []Command{RevokeLease{resp.Lease}}
	case resp.Err == nil:
		s.leaseConfirmed(resp)
		return s.acquire(s.tickAt(resp.Now))
	case cicadapitch.KindOf(resp.Err) == cicadapitch.NotFound:
		return s.leaseExpired(resp)
	default:
		l.failing = true
		l.nextCall = resp.Now.Add(s.retryDelay())
	}
	return nil
}

// retryAfter spreads the calls of a fleet that waits for the store.
func (s *State) retryDelay() cicadapitch.Millis {
	span := max(s.policy.RetryEvery, s.policy.renewInterval(len(s.hostSeen))/2)
	return span/2 + s.jitter(span)
}

// spread returns a span below limit that differs from host to host and from
// instant to instant.
func (s *State) jitter(limit cicadapitch.Millis) cicadapitch.Millis {
	seed := uint64(s.last.Now)
	return cicadapitch.Millis(xxh3.HashStringSeed(string(s.last.Self.Host), seed) % uint64(limit))
}

// leaseConfirmed counts the validity from when the call was sent, since the
// store may have begun to count then.
func (s *State) leaseConfirmed(resp LeaseResponse) {
	l := &s.lease
	l.failing, l.extended = false, false
	l.id = resp.Lease
	s.noteStoreContact(resp)
	l.validUntil = resp.Sent.Add(resp.TTL - s.policy.LeaseMargin)
	l.nextCall = resp.Sent.Add(min(s.policy.renewInterval(len(s.hostSeen)), resp.TTL/2))
	clear(s.expired)
}

// leaseLapsed asks for a new lease. A host that carried on through an outage
// has a short span to claim its shards again, which its peers leave to it,
// since it advertises them. Any other host has lost them.
func (s *State) leaseExpired(resp LeaseResponse) []Command {
	l := &s.lease
	wasExtended := l.extended
	l.id, l.validUntil, l.failing, l.extended = 0, 0, false, false
	l.nextCall = resp.Now
	clear(s.expired)
	if wasExtended {
		l.extendedUntil = resp.Now.Add(s.policy.ReclaimTimeout)
		return s.grantOrRenew(s.tickAt(resp.Now))
	}
	var cmds []Command
	for _, shard := range s.ownedShards() {
		cmds = append(cmds, s.drop(shard))
	}
	return cmds
}
