package claim

import (
	"maps"
	"slices"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// basisSpan is how long a host that is no longer seen counts as one that may
// still run, while the store is up.
const basisSpan = 1 * cicadapitch.Minute

// lease is what a host knows of its own lease.
type lease struct {
	id cicadapitch.LeaseID
	// until is the instant, by this host's own clock, after which it starts
	// nothing under the lease.
	until cicadapitch.Instant
	// carry is the same for shards that hang on an earlier lease, which ran
	// out in an outage.
	carry  cicadapitch.Instant
	next   cicadapitch.Instant
	inCall bool
	// answered is true once a call for the lease was answered.
	answered bool
	// failing is true after a call for the lease gave no answer.
	failing bool
	// extended is true while the host carries on without a lease.
	extended bool
	lastTick cicadapitch.Instant
	// contact is the instant after which a host that hears neither the store
	// nor most of the hosts starts nothing.
	contact cicadapitch.Instant
	// doubt is the instant until which a host that was paused, or that lost
	// its shards while it heard too few hosts, does not carry on without a
	// lease.
	doubt cicadapitch.Instant
}

// StoreUp tells whether the last call for the lease was answered. It is false
// before the first one and after the host has given up its lease, since such a
// host knows nothing of the store.
func (s *State) StoreUp() bool {
	return s.leasing.answered && !s.leasing.failing && !s.closed
}

// until returns the instant after which this host starts nothing for a shard.
func (s *State) until(o ownership) cicadapitch.Instant {
	if s.leasing.id != 0 && o.lease == s.leasing.id {
		return min(s.leasing.until, s.leasing.contact)
	}
	return min(s.leasing.carry, s.leasing.contact)
}

// keepOrLose extends the validity while the store is down for all, and gives
// up what has run out.
func (s *State) keepOrLose(t Tick) []Command {
	l := &s.leasing
	s.hear(t)
	if t.Now.Sub(l.lastTick) > s.policy.MaxTickGap && t.Now >= max(l.until, l.carry) {
		l.doubt = t.Now.Add(s.policy.ExtensionDelay)
	}
	l.lastTick = t.Now
	if l.failing {
		s.outage = t.Now
	}
	if t.StoreUp > 0 {
		clear(s.lapsed)
	}
	if !s.quorum(t) {
		l.carry = 0
		if len(s.lapsed) > 0 {
			l.doubt = t.Now.Add(s.policy.ExtensionDelay)
		}
	}
	if s.mayExtend(t) {
		l.until = max(l.until, t.Now.Add(s.policy.OutageExtension))
		l.carry = max(l.carry, t.Now.Add(s.policy.OutageExtension))
		l.extended = true
		return s.regain()
	}
	var cmds []Command
	for _, shard := range s.ownedShards() {
		o := s.owned[shard]
		if t.Now < s.until(o) {
			continue
		}
		if l.failing {
			// The lease ran out in an outage that this host has seen. After a
			// pause that began before, others may have claimed the shard.
			s.lapsed[shard] = o
		}
		s.unsettled[shard] = true
		cmds = append(cmds, s.lose(shard))
	}
	return cmds
}

// mayExtend tells whether nobody can claim the shards of this host: it was not
// paused just now, its own calls fail, and most of the hosts that it knew are
// heard, none of which reaches the store.
func (s *State) mayExtend(t Tick) bool {
	l := s.leasing
	if !l.failing || t.Now < l.doubt || s.closed {
		return false
	}
	return t.StoreUp == 0 && s.quorum(t)
}

// quorum tells whether this host hears most of the hosts that it knew or that
// are configured. Without configured hosts it is false until a host has had the
// time to hear of others, since it would take itself for all of them.
func (s *State) quorum(t Tick) bool {
	basis := max(len(s.known), t.Hosts)
	acquainted := t.Hosts > 0 || t.Now.Sub(s.started) >= s.policy.DiscoveryTime
	return acquainted && 2*(t.StoreUp+t.StoreDown) > basis
}

// regain takes back what lapsed in an outage, unless another host has it.
func (s *State) regain() []Command {
	var cmds []Command
	for _, shard := range slices.Sorted(maps.Keys(s.lapsed)) {
		if _, ok := s.advertised[shard]; ok {
			continue
		}
		o := s.lapsed[shard]
		s.owned[shard] = o
		delete(s.lapsed, shard)
		cmds = append(cmds, NotifyGain{cicadapitch.Claim{Shard: shard, Fencing: o.fencing}})
	}
	return cmds
}

// lease grants or renews the lease when it is time.
func (s *State) lease(t Tick) []Command {
	l := &s.leasing
	if l.inCall || t.Now < l.next {
		return nil
	}
	if l.id != 0 {
		l.inCall = true
		return []Command{RenewLease{l.id}}
	}
	if s.closed || t.Self.State != cicadapitch.Ready || t.Now < s.started.Add(s.startDelay(t)) {
		return nil
	}
	l.inCall = true
	return []Command{GrantLease{s.policy.ttl(len(t.Members))}}
}

// startDelay lets a host hear of the others before it claims anything, and
// spreads the first calls of a fleet that starts all at once.
func (s *State) startDelay(t Tick) cicadapitch.Millis {
	span := max(1, s.policy.span(len(t.Members)))
	return s.policy.StartDelay + cicadapitch.Millis(xxh3.HashString(string(t.Self.Host))%uint64(span))
}

func (s *State) leaseAnswered(a LeaseResponse) []Command {
	l := &s.leasing
	l.inCall = false
	l.answered = l.answered || a.Err == nil
	switch {
	case a.Err == nil && s.closed:
		return []Command{RevokeLease{a.Lease}}
	case a.Err == nil:
		s.leaseConfirmed(a)
		return s.claim(s.lastAt(a.Now))
	case cicadapitch.KindOf(a.Err) == cicadapitch.NotFound:
		return s.leaseLapsed(a)
	default:
		l.failing = true
		l.next = a.Now.Add(s.retryAfter())
	}
	return nil
}

// retryAfter spreads the calls of a fleet that waits for the store.
func (s *State) retryAfter() cicadapitch.Millis {
	span := max(s.policy.RetryEvery, s.policy.renewEvery(len(s.known))/2)
	return span/2 + s.spread(span)
}

// spread returns a span below limit that differs from host to host and from
// instant to instant.
func (s *State) spread(limit cicadapitch.Millis) cicadapitch.Millis {
	seed := uint64(s.last.Now)
	return cicadapitch.Millis(xxh3.HashStringSeed(string(s.last.Self.Host), seed) % uint64(limit))
}

// leaseConfirmed counts the validity from when the call was sent, since the
// store may have begun to count then.
func (s *State) leaseConfirmed(a LeaseResponse) {
	l := &s.leasing
	l.failing, l.extended = false, false
	l.id = a.Lease
	s.reach(a)
	l.until = a.Sent.Add(a.TTL - s.policy.LeaseMargin)
	l.next = a.Sent.Add(min(s.policy.renewEvery(len(s.known)), a.TTL/2))
	clear(s.lapsed)
}

// leaseLapsed asks for a new lease. A host that carried on through an outage
// has a short span to claim its shards again, which its peers leave to it,
// since it advertises them. Any other host has lost them.
func (s *State) leaseLapsed(a LeaseResponse) []Command {
	l := &s.leasing
	carry := l.extended
	l.id, l.until, l.failing, l.extended = 0, 0, false, false
	l.next = a.Now
	clear(s.lapsed)
	if carry {
		l.carry = a.Now.Add(s.policy.ReclaimTimeout)
		return s.lease(s.lastAt(a.Now))
	}
	var cmds []Command
	for _, shard := range s.ownedShards() {
		cmds = append(cmds, s.lose(shard))
	}
	return cmds
}
