package endpoint

import "cicadapitch.example/cicadapitch"

// noEndpointRetry is the retry delay of attempts that were refused because the
// shard has no endpoint in service.
const noEndpointRetry = cicadapitch.Second

// admissionEstimate holds the capacity of a shard and the expected wait and
// service time of a job there, in milliseconds.
type admissionEstimate struct {
	// serving is true where the shard has an endpoint in service.
	serving bool
	// capacity is the number of concurrent calls that the endpoints may have
	// now, which slow start can limit. free is the number of new calls that they
	// can take at once.
	capacity cicadapitch.Slots
	free     cicadapitch.Slots
	// wait is the time until the job gets a slot.
	wait        float64
	serviceTime float64
}

// estimateFor returns the estimate for a job. Its service time is that of the
// fastest endpoint.
func (s *State) estimateFor(now cicadapitch.Instant, j *job) admissionEstimate {
	var e admissionEstimate
	var affinityWork float64
	for _, b := range s.endpoints {
		e.serving = e.serving || b.inService()
		limit := s.slotLimit(now, b)
		if limit == 0 {
			continue
		}
		e.capacity += limit
		e.free += s.freeSlots(now, b)
		serviceTime := s.expectedServiceTime(b, j, b.prefixes.hitProbability(j.Prefix))
		if e.serviceTime == 0 || serviceTime < e.serviceTime {
			e.serviceTime = serviceTime
		}
		affinityWork += float64(len(b.affinityQueue)) * serviceTime
	}
	if e.capacity == 0 {
		e.serviceTime = s.model.serviceTime(j.Size, 0)
		return e
	}
	if int(e.free) <= s.queue.Len() {
		ahead := float64(s.queue.WorkAhead(j.Customer)) + affinityWork
		e.wait = (ahead + s.typicalServiceTime()) / float64(e.capacity)
	}
	return e
}

// typicalServiceTime returns the expected service time of a call with the mean
// number of requested tokens and no prefix-cache hit, in milliseconds.
func (s *State) typicalServiceTime() float64 {
	return s.model.serviceTime(cicadapitch.Tokens(s.model.requestedTokens.value), 0)
}

// withMargin adds the admission margin of the policy to an expected service
// time.
func (s *State) withMargin(serviceTime float64) float64 {
	return serviceTime * (1 + s.policy.Margin*min(s.model.deviation.value, 1))
}

// admit reports whether the job is admitted. It refuses a job whose shard has no
// endpoint in service. With admission control it also refuses a job that is not
// expected to meet its deadline, unless a probe of an endpoint is due.
func (s *State) admit(now cicadapitch.Instant, j *job) bool {
	e := s.estimateFor(now, j)
	if !e.serving {
		s.refuse(now, j, NoEndpoint, noEndpointRetry)
		return false
	}
	if !s.policy.Admission {
		return true
	}
	needed := e.wait + s.withMargin(e.serviceTime)
	remaining := float64(j.Deadline.Sub(now))
	if needed <= remaining {
		return true
	}
	if s.anyProbeDue(now) {
		return true
	}
	s.refuse(now, j, Unreachable, s.retryAfter(e, needed-remaining))
	return false
}

// retryAfter returns the retry delay of a refused job that would have missed its
// deadline by excess milliseconds. After the delay the queue should be shorter
// by the excess, and another slot should be free.
func (s *State) retryAfter(e admissionEstimate, excess float64) cicadapitch.Millis {
	next := s.typicalServiceTime() / float64(max(e.capacity, 1))
	return cicadapitch.Millis(max(excess, next, 1))
}
