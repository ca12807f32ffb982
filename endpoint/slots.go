package endpoint

import "cicadapitch.example/cicadapitch"

// slotLimit returns the number of concurrent calls that the endpoint may have
// now.
func (s *State) slotLimit(now cicadapitch.Instant, b *backend) cicadapitch.Slots {
	switch {
	case !b.inService() || !b.previousCallsKnown || now < b.ejectedUntil:
		return 0
	case b.ejectedUntil > 0:
		return 1
	case !s.policy.SlowStart:
		return s.pool.WarmSlots
	default:
		return b.slowStartSlots
	}
}

// freeSlots returns the number of new calls that the endpoint can take now.
//
// An engine can turn cold without reporting it. The first sign is that the first
// token of its next call is late. An engine therefore runs at most ColdSlots
// calls at a time that have not yet had a first token in time.
func (s *State) freeSlots(now cicadapitch.Instant, b *backend) cicadapitch.Slots {
	n := s.slotLimit(now, b) - b.busy()
	if s.policy.SlowStart {
		if s.pool.Kind == cicadapitch.Engine {
			n = min(n, s.pool.ColdSlots-b.unconfirmed)
		}
		if b.stalled {
			n = 0
		}
	}
	return max(n, 0)
}

// markCold restarts the slow start of the endpoint with ColdSlots. If it had
// more slots before, each further slot now needs twice as many good calls. The
// jobs in the affinity queue of the endpoint return to the queue of the shard.
func (s *State) markCold(now cicadapitch.Instant, b *backend) {
	if b.slowStartSlots > s.pool.ColdSlots {
		b.goodCallsPerSlot = min(b.goodCallsPerSlot*2, maxGoodCallsPerSlot)
	}
	b.slowStartSlots = s.pool.ColdSlots
	b.coldSince = now
	b.goodCalls = 0
	s.requeue(b)
}

// maxGoodCallsPerSlot bounds the number of good calls that add one slot.
const maxGoodCallsPerSlot = 16

// growSlots counts a completed call towards the next slot of the endpoint's
// slow start if the call is good: it started after the endpoint was last marked
// as cold, a load report requested since then says that the endpoint is warm,
// and its latency ratio is at most Policy.GrowFactor. A slower endpoint may be
// cold without reporting it.
func (s *State) growSlots(b *backend, j *job, ratio float64) {
	if j.started < b.coldSince || b.reportedCold || b.lastReport < b.coldSince {
		return
	}
	if ratio > s.policy.GrowFactor {
		return
	}
	b.goodCalls++
	if b.goodCalls < b.goodCallsPerSlot {
		return
	}
	b.goodCalls = 0
	b.slowStartSlots = min(b.slowStartSlots+1, s.pool.WarmSlots)
	if b.slowStartSlots == s.pool.WarmSlots {
		b.goodCallsPerSlot = 1
	}
}

// overdue reports whether a running call has taken longer than factor times the
// expected time to its first output or, after that, to its end.
func (s *State) overdue(now cicadapitch.Instant, j *job, factor float64) bool {
	expected := s.model.fullLengthServiceTime(j.Size)
	if j.firstOutput == 0 {
		expected = s.model.timeToFirstOutput(0)
	}
	expected = max(expected*max(s.relativeLatency(j.backend), 1), float64(s.policy.LatencyFloor))
	return float64(now.Sub(j.started)) > expected*factor
}

// updateTimedStates updates the states of endpoints that change with time. It marks
// endpoints with overdue calls as stalled, so that they get no new calls, and as
// cold once a call is overdue by Policy.ColdFactor. It drops untracked calls that
// have ended, and no longer waits for the first load report of an endpoint after
// Policy.UntrackedTimeout.
func (s *State) updateTimedStates(now cicadapitch.Instant) {
	for _, b := range s.endpoints {
		b.expireUntracked(now)
		if !b.previousCallsKnown && now.Sub(b.addedAt) >= s.policy.UntrackedTimeout {
			b.previousCallsKnown = true
		}
		b.stalled = false
		for _, j := range b.running {
			if !s.overdue(now, j, s.policy.StallFactor) {
				continue
			}
			b.stalled = true
			if b.slowStartSlots > s.pool.ColdSlots && s.overdue(now, j, s.policy.ColdFactor) {
				s.markCold(now, b)
			}
		}
	}
}
