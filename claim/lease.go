package claim

import (
	"maps"
	"slices"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// absentHostTimeout is how long a host that is no longer a member counts towards the
// quorum, since it may still be running. During an outage of the store it counts without
// limit. The timeout also limits how long after an outage other hosts may own shards
// without a lease.
const absentHostTimeout = 1 * cicadapitch.Minute

// leaseState is the state of this host's lease.
type leaseState struct {
	id cicadapitch.LeaseID
	// validUntil is the instant, on this host's clock, from which it starts no work
	// under the lease.
	validUntil cicadapitch.Instant
	// extendedUntil is the instant from which this host starts no work for shards
	// that are not claimed under the current lease.
	extendedUntil cicadapitch.Instant
	// nextCall is when the lease is next granted or renewed.
	nextCall    cicadapitch.Instant
	callPending bool
	// everSucceeded is true once a call for the lease has succeeded.
	everSucceeded bool
	// failing is true if the store did not answer the latest call for the lease.
	// A NotFound error is an answer.
	failing bool
	// extended is true while ownership is extended without a valid lease.
	extended bool
	// lastTickAt is the instant of the previous tick.
	lastTickAt cicadapitch.Instant
	// isolationDeadline is the instant from which a host that reaches neither the
	// store nor a quorum of hosts starts no work.
	isolationDeadline cicadapitch.Instant
	// noExtensionUntil is the instant until which ownership is not extended without
	// a lease, after a pause or after shards expired while there was no quorum.
	noExtensionUntil cicadapitch.Instant
}

// StoreUp reports whether this host reaches the store: whether the latest call for the
// lease was answered. It is false before the first call succeeds and after all shards
// were released, since the host then makes no more calls.
func (s *State) StoreUp() bool {
	return s.lease.everSucceeded && !s.lease.failing && !s.closed
}

// validUntil returns the instant from which this host starts no work for a shard.
func (s *State) validUntil(o ownership) cicadapitch.Instant {
	if s.lease.id != 0 && o.lease == s.lease.id {
		return min(s.lease.validUntil, s.lease.isolationDeadline)
	}
	return min(s.lease.extendedUntil, s.lease.isolationDeadline)
}

// extendOrExpire extends the ownership of shards if mayExtend allows it, and
// otherwise ends the ownership of the shards whose validity has expired. It first
// updates the isolation deadline, the latest outage and the time until which ownership
// is not extended.
func (s *State) extendOrExpire(t Tick) []Command {
	l := &s.lease
	s.extendIsolationDeadlineByQuorum(t)
	if t.Now.Sub(l.lastTickAt) > s.policy.MaxTickGap && t.Now >= max(l.validUntil, l.extendedUntil) {
		l.noExtensionUntil = t.Now.Add(s.policy.ExtensionDelay)
	}
	l.lastTickAt = t.Now
	if l.failing {
		s.lastOutage = t.Now
	}
	if t.HostsWithStore > 0 {
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
			// Only a host that observed the outage may restore the shard: during
			// a pause that began before the outage, another host may have
			// claimed it.
			s.expired[shard] = o
		}
		s.uncertain[shard] = true
		cmds = append(cmds, s.endOwnership(shard))
	}
	return cmds
}

// mayExtend reports whether ownership can be extended without a lease because no
// other host can claim the shards: this host was not paused recently, its own calls
// for the lease fail, and it has a quorum of hosts none of which reaches the store.
func (s *State) mayExtend(t Tick) bool {
	l := s.lease
	if !l.failing || t.Now < l.noExtensionUntil || s.closed {
		return false
	}
	return t.HostsWithStore == 0 && s.hasQuorum(t)
}

// hasQuorum reports whether more than half of the known or configured hosts,
// whichever are more, respond. If no hosts are configured, it is false until
// DiscoveryTime has passed: before, the host would count only itself.
func (s *State) hasQuorum(t Tick) bool {
	hosts := max(len(s.hostSeen), t.Hosts)
	discovered := t.Hosts > 0 || t.Now.Sub(s.started) >= s.policy.DiscoveryTime
	return discovered && 2*(t.HostsWithStore+t.HostsWithoutStore) > hosts
}

// restoreExpired restores the ownership of shards that expired in an outage, except
// those that another host advertises.
func (s *State) restoreExpired() []Command {
	var cmds []Command
	for _, shard := range slices.Sorted(maps.Keys(s.expired)) {
		if _, ok := s.highestAdvertisements[shard]; ok {
			continue
		}
		o := s.expired[shard]
		s.owned[shard] = o
		delete(s.expired, shard)
		cmds = append(cmds, NotifyGain{cicadapitch.Claim{Shard: shard, Fencing: o.fencing}})
	}
	return cmds
}

// grantOrRenew returns the command that grants or renews the lease if one is due.
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

// startDelay returns the delay between the start and the first grant. A host needs
// it to discover the other hosts before it claims shards. It differs between hosts,
// to spread the first calls of hosts that all start at once.
func (s *State) startDelay(t Tick) cicadapitch.Millis {
	span := max(1, s.policy.callInterval(len(t.Members)))
	return s.policy.StartDelay + cicadapitch.Millis(xxh3.HashString(string(t.Self.Host))%uint64(span))
}

func (s *State) handleLeaseResponse(resp LeaseResponse) []Command {
	l := &s.lease
	l.callPending = false
	l.everSucceeded = l.everSucceeded || resp.Err == nil
	switch {
	case resp.Err == nil && s.closed:
		return []Command{RevokeLease{resp.Lease}}
	case resp.Err == nil:
		s.applyLease(resp)
		return s.acquire(s.tickAt(resp.Now))
	case cicadapitch.KindOf(resp.Err) == cicadapitch.NotFound:
		return s.handleLeaseExpired(resp)
	default:
		l.failing = true
		l.nextCall = resp.Now.Add(s.retryDelay())
	}
	return nil
}

// retryDelay returns the delay before a failed call for the lease is retried. It is
// jittered to spread the calls of hosts that all wait for the store.
func (s *State) retryDelay() cicadapitch.Millis {
	span := max(s.policy.RetryEvery, s.policy.renewInterval(len(s.hostSeen))/2)
	return span/2 + s.jitter(span)
}

// jitter returns a duration below limit that depends on the host and the latest tick.
func (s *State) jitter(limit cicadapitch.Millis) cicadapitch.Millis {
	seed := uint64(s.lastTick.Now)
	return cicadapitch.Millis(xxh3.HashStringSeed(string(s.lastTick.Self.Host), seed) % uint64(limit))
}

// applyLease sets the validity of a granted or renewed lease. The TTL counts
// from when the call was sent, since the store may have started it then.
func (s *State) applyLease(resp LeaseResponse) {
	l := &s.lease
	l.failing, l.extended = false, false
	l.id = resp.Lease
	s.extendIsolationDeadlineByStore(resp)
	l.validUntil = resp.Sent.Add(resp.TTL - s.policy.LeaseMargin)
	l.nextCall = resp.Sent.Add(min(s.policy.renewInterval(len(s.hostSeen)), resp.TTL/2))
	clear(s.expired)
}

// handleLeaseExpired handles the answer that the lease no longer exists. A host whose
// ownership was extended through an outage requests a new lease and keeps its
// shards for ReclaimTimeout. The other hosts do not claim them, since it advertises
// them. Any other host ends its ownership of all shards.
func (s *State) handleLeaseExpired(resp LeaseResponse) []Command {
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
		cmds = append(cmds, s.endOwnership(shard))
	}
	return cmds
}
