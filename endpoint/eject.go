package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// fewSamples is the number of calls below which a latency proves nothing.
const fewSamples = 5

// judge ejects the endpoint if it fails or lags far behind its peers. At least
// half of the shard's endpoints stay in, so a shard is never ejected as a whole.
func (s *State) judge(now cicadapitch.Instant, b *backend) {
	if b.failures < s.policy.EjectAfter && !s.lags(b) {
		return
	}
	if now < b.ejected || !s.mayEject(now) {
		return
	}
	span := min(s.policy.EjectFor<<min(b.ejections, 16), s.policy.EjectMax)
	b.ejected = now.Add(span)
	b.ejections++
	b.failures = 0
	b.speed = movingAverage{}
	s.fall(now, b)
}

// readmit ends an ejection after a probe that went well. The endpoint starts
// cold.
func (s *State) readmit(now cicadapitch.Instant, b *backend) {
	if b.ejected == 0 {
		return
	}
	b.ejected = 0
	s.fall(now, b)
}

func (s *State) mayEject(now cicadapitch.Instant) bool {
	serving, ejected := 0, 0
	for _, b := range s.endpoints {
		if !b.inService() {
			continue
		}
		serving++
		if now < b.ejected {
			ejected++
		}
	}
	return ejected < serving/2
}

// lags is true if the endpoint is an outlier against the median of its peers.
func (s *State) lags(b *backend) bool {
	if b.speed.samples < fewSamples {
		return false
	}
	s.paces = s.paces[:0]
	for _, peer := range s.endpoints {
		if peer != b && peer.inService() && peer.speed.samples >= fewSamples {
			s.paces = append(s.paces, peer.speed.value)
		}
	}
	if len(s.paces) == 0 {
		return false
	}
	slices.Sort(s.paces)
	return b.speed.value > s.paces[len(s.paces)/2]*s.policy.EjectFactor
}
