package endpoint

import "cicadapitch.example/cicadapitch"

// probeAfter is how long an endpoint is idle before one job may start on it
// against what its estimate says.
const probeAfter = 1 * cicadapitch.Second

// probes tells whether an endpoint is to be tried whatever its estimate. An
// estimate that is too high for every deadline would otherwise keep all work
// away and never be corrected.
func (s *State) probes(now cicadapitch.Instant, b *backend) bool {
	return b.busy() == 0 && now.Sub(max(b.ended, b.added)) >= probeAfter && s.free(now, b) > 0
}

// probesAny tells whether any endpoint is to be tried.
func (s *State) probesAny(now cicadapitch.Instant) bool {
	for _, b := range s.endpoints {
		if s.probes(now, b) {
			return true
		}
	}
	return false
}
