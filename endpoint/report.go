package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// DuePolls returns the endpoints whose load report is due. The caller reads each
// report and passes it to Report, or calls ReportFailed if reading fails. An
// endpoint is polled ten times as often while it is stalled or the calls that ran
// there before it was added are unknown.
func (s *State) DuePolls(now cicadapitch.Instant) []cicadapitch.Endpoint {
	var due []cicadapitch.Endpoint
	for _, b := range s.endpoints {
		interval := s.policy.PollInterval
		if !b.previousCallsKnown || b.stalled {
			interval /= 10
		}
		if b.removed || b.polling || now.Sub(b.lastPoll) < interval {
			continue
		}
		b.polling = true
		b.lastPoll = now
		due = append(due, b.Endpoint)
	}
	return due
}

// Report applies a load report that was requested at the instant requested and
// arrived at now. It updates the untracked calls, the leaving and cold state and
// the tracked prefixes of the endpoint.
func (s *State) Report(now, requested cicadapitch.Instant, id cicadapitch.EndpointID, r cicadapitch.LoadReport) []Command {
	s.commands = s.commands[:0]
	b := s.backend(id)
	if b == nil {
		return nil
	}
	b.polling = false
	taken := requested.Add(-s.policy.ReportLag)
	s.reconcileUntracked(now, taken, b, int(r.Running)+r.Waiting)
	b.leaving = r.Leaving
	b.lastReport = requested
	if r.Cold && (!b.reportedCold || b.slowStartSlots > s.pool.ColdSlots) {
		s.markCold(now, b)
		b.prefixes.clear()
	}
	if b.reportedCold && !r.Cold {
		b.relativeLatency = movingAverage{}
	}
	b.reportedCold = r.Cold
	b.prefixes.reconcile(taken, r.CachedPrefixes)
	if !b.inService() {
		s.requeue(b)
	}
	return s.dispatch(now)
}

// ReportFailed handles a load report that could not be read. The endpoint is
// polled again after the next interval.
func (s *State) ReportFailed(id cicadapitch.EndpointID) {
	if b := s.backend(id); b != nil {
		b.polling = false
	}
}

// reconcileUntracked updates the untracked calls from a load report. Total is the
// number of running and waiting calls in the report, and taken the earliest
// instant at which they can have been counted. The first report that was
// counted after the endpoint was added sets the number of untracked calls. Later
// reports can only lower it.
func (s *State) reconcileUntracked(now, taken cicadapitch.Instant, b *backend, total int) {
	if !b.previousCallsKnown {
		if taken < b.addedAt {
			return
		}
		b.previousCallsKnown = true
		for range total {
			b.addUntracked(now.Add(s.policy.UntrackedTimeout))
		}
		return
	}
	tracked := 0
	for _, j := range b.running {
		if j.started <= taken {
			tracked++
		}
	}
	if untracked := max(total-tracked, 0); untracked < len(b.untracked) {
		b.untracked = b.untracked[len(b.untracked)-untracked:]
	}
}

func (s *State) backend(id cicadapitch.EndpointID) *backend {
	i := slices.IndexFunc(s.endpoints, func(b *backend) bool { return b.ID == id })
	if i < 0 {
		return nil
	}
	return s.endpoints[i]
}
