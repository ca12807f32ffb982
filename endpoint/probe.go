package endpoint

import "cicadapitch.example/cicadapitch"

// probeIdleTime is how long an endpoint must be idle before it is probed.
const probeIdleTime = 1 * cicadapitch.Second

// probeDue reports whether the next job may start on the endpoint even if the
// latency estimate exceeds the job's deadline. An estimate that exceeds every
// deadline would otherwise keep all jobs away and never be corrected.
func (s *State) probeDue(now cicadapitch.Instant, b *backend) bool {
	return b.busy() == 0 && now.Sub(max(b.lastCallEnd, b.addedAt)) >= probeIdleTime && s.freeSlots(now, b) > 0
}

// anyProbeDue reports whether a probe of any endpoint is due.
func (s *State) anyProbeDue(now cicadapitch.Instant) bool {
	for _, b := range s.endpoints {
		if s.probeDue(now, b) {
			return true
		}
	}
	return false
}
