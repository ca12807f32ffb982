package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// Due returns the endpoints whose load report is to be read now. Each must be
// answered by Report or Unread.
func (s *State) Due(now cicadapitch.Instant) []cicadapitch.Endpoint {
	var due []cicadapitch.Endpoint
	for _, b := range s.endpoints {
		every := s.policy.PollEvery
		if !b.seen || b.held {
			every /= 10
		}
		if b.removed || b.polling || now.Sub(b.polled) < every {
			continue
		}
		b.polling = true
		b.polled = now
		due = append(due, b.Endpoint)
	}
	return due
}

// Report takes a load report that was asked for at asked.
func (s *State) Report(now, asked cicadapitch.Instant, id cicadapitch.EndpointID, r cicadapitch.LoadReport) []Command {
	s.commands = s.commands[:0]
	b := s.backend(id)
	if b == nil {
		return nil
	}
	b.polling = false
	taken := asked.Add(-s.policy.ReportLag)
	s.count(now, taken, b, int(r.Running)+r.Waiting)
	b.leaving = r.Leaving
	b.read = asked
	if r.Cold && (!b.reportCold || b.bears > s.pool.ColdSlots) {
		s.fall(now, b)
		b.prefixes.clear()
	}
	if b.reportCold && !r.Cold {
		b.speed = movingAverage{}
	}
	b.reportCold = r.Cold
	b.prefixes.reconcile(taken, r.CachedPrefixes)
	if !b.inService() {
		s.requeue(b)
	}
	return s.dispatch(now)
}

// Unread takes the failure of a load report.
func (s *State) Unread(id cicadapitch.EndpointID) {
	if b := s.backend(id); b != nil {
		b.polling = false
	}
}

// count compares the work that the endpoint had at taken or later with the
// work that this owner knows of.
func (s *State) count(now, taken cicadapitch.Instant, b *backend, total int) {
	if !b.seen {
		if taken < b.added {
			return
		}
		b.seen = true
		for range total {
			b.addUntracked(now.Add(s.policy.ForeignWork))
		}
		return
	}
	own := 0
	for _, j := range b.running {
		if j.started <= taken {
			own++
		}
	}
	if others := max(total-own, 0); others < len(b.untracked) {
		b.untracked = b.untracked[len(b.untracked)-others:]
	}
}

func (s *State) backend(id cicadapitch.EndpointID) *backend {
	i := slices.IndexFunc(s.endpoints, func(b *backend) bool { return b.ID == id })
	if i < 0 {
		return nil
	}
	return s.endpoints[i]
}
