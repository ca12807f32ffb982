package endpoint

import "cicadapitch.example/cicadapitch"

// noEndpointRetry is when to come back to a shard without endpoints in service.
const noEndpointRetry = cicadapitch.Second

// outlook is what a new job can expect, in milliseconds.
type outlook struct {
	serving  bool
	capacity cicadapitch.Slots
	free     cicadapitch.Slots
	wait     float64
	service  float64
}

// look works out the outlook of a job.
func (s *State) look(now cicadapitch.Instant, j *job) outlook {
	var o outlook
	var lined float64
	for _, b := range s.endpoints {
		o.serving = o.serving || b.inService()
		limit := s.limit(now, b)
		if limit == 0 {
			continue
		}
		o.capacity += limit
		o.free += s.free(now, b)
		service := s.expected(b, j, b.prefixes.hitProbability(j.Prefix))
		if o.service == 0 || service < o.service {
			o.service = service
		}
		lined += float64(len(b.line)) * service
	}
	if o.capacity == 0 {
		o.service = s.model.serviceTime(j.Size, 0)
		return o
	}
	if int(o.free) <= s.queue.Len() {
		ahead := float64(s.queue.Ahead(j.Customer)) + lined
		o.wait = (ahead + s.usual()) / float64(o.capacity)
	}
	return o
}

// usual returns the typical service time of the shard.
func (s *State) usual() float64 {
	return s.model.serviceTime(cicadapitch.Tokens(s.model.requestedTokens.value), 0)
}

// cautious adds the margin of admission to an expected service time.
func (s *State) cautious(service float64) float64 {
	return service * (1 + s.policy.Margin*min(s.model.deviation.value, 1))
}

// admit refuses a job that cannot meet its deadline and returns whether it was
// admitted.
func (s *State) admit(now cicadapitch.Instant, j *job) bool {
	o := s.look(now, j)
	if !o.serving {
		s.refuse(now, j, NoEndpoint, noEndpointRetry)
		return false
	}
	if !s.policy.Admission {
		return true
	}
	needed := o.wait + s.cautious(o.service)
	remaining := float64(j.Deadline.Sub(now))
	if needed <= remaining {
		return true
	}
	if s.probesAny(now) {
		return true
	}
	s.refuse(now, j, Unreachable, s.retryAfter(o, needed-remaining))
	return false
}

// retryAfter returns when to come back: once the queue is shorter by what is
// missing, and not before the next slot is free.
func (s *State) retryAfter(o outlook, missing float64) cicadapitch.Millis {
	next := s.usual() / float64(max(o.capacity, 1))
	return cicadapitch.Millis(max(missing, next, 1))
}
