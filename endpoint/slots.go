package endpoint

import "cicadapitch.example/cicadapitch"

// limit returns the number of calls the endpoint may have at once now.
func (s *State) limit(now cicadapitch.Instant, b *backend) cicadapitch.Slots {
	switch {
	case !b.inService() || !b.seen || now < b.ejected:
		return 0
	case b.ejected > 0:
		return 1
	case !s.policy.SlowStart:
		return s.pool.WarmSlots
	default:
		return b.bears
	}
}

// free returns the number of calls the endpoint can take now.
//
// An engine that turns cold without warning shows it at the next first token
// at the earliest. Until calls have shown one, it gets no more of them than it
// bears in a cold start.
func (s *State) free(now cicadapitch.Instant, b *backend) cicadapitch.Slots {
	n := s.limit(now, b) - b.busy()
	if s.policy.SlowStart {
		if s.pool.Kind == cicadapitch.Engine {
			n = min(n, s.pool.ColdSlots-b.unproven)
		}
		if b.held {
			n = 0
		}
	}
	return max(n, 0)
}

// fall takes the endpoint as cold from now on.
func (s *State) fall(now cicadapitch.Instant, b *backend) {
	if b.bears > s.pool.ColdSlots {
		b.need = min(b.need*2, maxNeed)
	}
	b.bears = s.pool.ColdSlots
	b.since = now
	b.credit = 0
	s.requeue(b)
}

// maxNeed bounds the good calls that one more slot can cost.
const maxNeed = 16

// grow gives the endpoint another slot for good calls that started after it
// was last cold, once a load report of that time says that it is warm. A good
// call takes about as long as at the peers: an endpoint that stays slower
// cannot be told from one that is cold and does not say so.
func (s *State) grow(b *backend, j *job, ratio float64) {
	if j.started < b.since || b.reportCold || b.read < b.since {
		return
	}
	if ratio > s.policy.GrowFactor {
		return
	}
	b.credit++
	if b.credit < b.need {
		return
	}
	b.credit = 0
	b.bears = min(b.bears+1, s.pool.WarmSlots)
	if b.bears == s.pool.WarmSlots {
		b.need = 1
	}
}

// overdue is true while a running call takes factor times as long as usual.
func (s *State) overdue(now cicadapitch.Instant, j *job, factor float64) bool {
	usual := s.model.fullLengthServiceTime(j.Size)
	if j.first == 0 {
		usual = s.model.timeToFirstOutput(0)
	}
	usual = max(usual*max(s.pace(j.on), 1), float64(s.policy.LatencyFloor))
	return float64(now.Sub(j.started)) > usual*factor
}

// watch holds back new work from endpoints with overdue calls, and takes them
// as cold if that lasts.
func (s *State) watch(now cicadapitch.Instant) {
	for _, b := range s.endpoints {
		b.expireUntracked(now)
		if !b.seen && now.Sub(b.added) >= s.policy.ForeignWork {
			b.seen = true
		}
		b.held = false
		for _, j := range b.running {
			if !s.overdue(now, j, s.policy.HoldFactor) {
				continue
			}
			b.held = true
			if b.bears > s.pool.ColdSlots && s.overdue(now, j, s.policy.ColdFactor) {
				s.fall(now, b)
			}
		}
	}
}
