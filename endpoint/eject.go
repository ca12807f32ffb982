package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// minLatencySamples is the minimum number of calls for a mean latency to be
// significant.
const minLatencySamples = 5

// ejectUnhealthy ejects the endpoint after too many consecutive failures, or if
// its latency is an outlier. An ejected endpoint gets no calls for a time that
// doubles with each ejection. At least half of the shard's endpoints in service
// are never ejected, so that the shard keeps capacity.
func (s *State) ejectUnhealthy(now cicadapitch.Instant, b *backend) {
	if b.consecutiveFailures < s.policy.EjectAfter && !s.isLatencyOutlier(b) {
		return
	}
	if now < b.ejectedUntil || !s.mayEject(now) {
		return
	}
	duration := min(s.policy.BaseEjection<<min(b.ejections, 16), s.policy.MaxEjection)
	b.ejectedUntil = now.Add(duration)
	b.ejections++
	b.consecutiveFailures = 0
	b.relativeLatency = movingAverage{}
	s.markCold(now, b)
}

// readmit ends the ejection of an endpoint after a call that succeeded. The
// endpoint starts cold.
func (s *State) readmit(now cicadapitch.Instant, b *backend) {
	if b.ejectedUntil == 0 {
		return
	}
	b.ejectedUntil = 0
	s.markCold(now, b)
}

// mayEject reports whether one more endpoint may be ejected, so that at least
// half of the endpoints in service remain. A single endpoint is never ejected.
func (s *State) mayEject(now cicadapitch.Instant) bool {
	inService, ejected := 0, 0
	for _, b := range s.endpoints {
		if !b.inService() {
			continue
		}
		inService++
		if now < b.ejectedUntil {
			ejected++
		}
	}
	return ejected < inService/2
}

// isLatencyOutlier reports whether the endpoint's latency exceeds
// Policy.EjectFactor times the median of its peers.
func (s *State) isLatencyOutlier(b *backend) bool {
	if b.relativeLatency.samples < minLatencySamples {
		return false
	}
	s.peerLatencies = s.peerLatencies[:0]
	for _, peer := range s.endpoints {
		if peer != b && peer.inService() && peer.relativeLatency.samples >= minLatencySamples {
			s.peerLatencies = append(s.peerLatencies, peer.relativeLatency.value)
		}
	}
	if len(s.peerLatencies) == 0 {
		return false
	}
	slices.Sort(s.peerLatencies)
	return b.relativeLatency.value > s.peerLatencies[len(s.peerLatencies)/2]*s.policy.EjectFactor
}
