package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// fullBatchSlowdown is the increase in latency from an idle endpoint to a full
// one, as a fraction of the latency at the idle one.
const fullBatchSlowdown = 0.5

// offer is an endpoint as a candidate for a job, with times in milliseconds.
type offer struct {
	// backend is nil where no endpoint can take the job.
	backend        *backend
	hitProbability float64
	wait           float64
	serviceTime    float64
	score          float64
	// avoided is true for an endpoint in Job.Avoid.
	avoided bool
	// busy is true where the job has to wait for a slot.
	busy bool
}

// minWaitWeight is the minimum weight of the waiting time in the score of an
// offer, where the service time has weight 1.
const minWaitWeight = 0.25

// better reports whether o is preferred to p: an endpoint that is not avoided
// to one that is, then the lower score, the higher hit probability, and the
// endpoint with fewer calls.
func (o offer) better(p offer) bool {
	switch {
	case p.backend == nil:
		return true
	case o.avoided != p.avoided:
		return p.avoided
	case o.score != p.score:
		return o.score < p.score
	case o.hitProbability != p.hitProbability:
		return o.hitProbability > p.hitProbability
	default:
		return o.backend.busy() < p.backend.busy()
	}
}

// expectedServiceTime returns the expected service time of a job on an
// endpoint, in milliseconds.
func (s *State) expectedServiceTime(b *backend, j *job, hitProbability float64) float64 {
	return s.model.serviceTime(j.Size, hitProbability) * s.relativeLatency(b) * batchSlowdown(s.utilization(b))
}

// relativeLatency returns the latency of an endpoint as a multiple of the
// prediction of the shard's model. Endpoints that report themselves as cold
// share one value.
func (s *State) relativeLatency(b *backend) float64 {
	m := b.relativeLatency
	if b.reportedCold {
		m = s.coldLatency
	}
	if m.samples == 0 {
		return 1
	}
	return min(max(m.value, minRelativeLatency), maxRelativeLatency)
}

// utilization returns the busy fraction of an endpoint's warm slots.
func (s *State) utilization(b *backend) float64 {
	return float64(b.busy()) / float64(max(s.pool.WarmSlots, 1))
}

// batchSlowdown returns the latency of a call at an endpoint with the given
// utilization as a multiple of its latency at an idle one.
func batchSlowdown(utilization float64) float64 { return 1 + fullBatchSlowdown*utilization }

// choose returns the offer that Policy.Choice prefers for a job. The backend of
// the offer has a free slot, or under Expected may be a busy one whose prefix
// cache is worth the wait. The backend is nil where no endpoint can take the
// job.
func (s *State) choose(now cicadapitch.Instant, j *job) offer {
	switch s.policy.Choice {
	case LeastOutstanding:
		return s.chooseLeastOutstanding(now, j)
	case RoundRobin:
		return s.chooseRoundRobin(now, j)
	default:
		return s.chooseExpected(now, j)
	}
}

func (s *State) chooseExpected(now cicadapitch.Instant, j *job) offer {
	var best offer
	for _, b := range s.endpoints {
		o, ok := s.evaluate(now, b, j)
		if ok && o.better(best) {
			best = o
		}
	}
	return best
}

// evaluate returns an endpoint's offer for a job, or false if the endpoint
// cannot take the job. The score combines the time to completion with the cost,
// which is the slot time that the job takes: the waiting time counts with the
// weight of the configuration, the service time fully.
func (s *State) evaluate(now cicadapitch.Instant, b *backend, j *job) (offer, bool) {
	if s.slotLimit(now, b) == 0 || (b.ejectedUntil > 0 && !j.Idempotent && s.peerHasFreeSlot(now, b)) {
		return offer{}, false
	}
	o := offer{backend: b, hitProbability: b.prefixes.hitProbability(j.Prefix), avoided: slices.Contains(j.Avoid, b.ID)}
	o.serviceTime = s.expectedServiceTime(b, j, o.hitProbability)
	o.busy = s.freeSlots(now, b) == 0
	if o.busy {
		if o.avoided || !s.worthWaiting(now, b, j, &o) {
			return offer{}, false
		}
	}
	late := now.Add(cicadapitch.Millis(o.wait+o.serviceTime)) > j.Deadline
	if s.policy.Admission && late && !s.probeDue(now, b) {
		return offer{}, false
	}
	o.score = max(float64(s.weight), minWaitWeight)*o.wait + o.serviceTime
	return o, true
}

// peerHasFreeSlot reports whether an endpoint other than b that is not ejected
// or on probation can take a call now.
func (s *State) peerHasFreeSlot(now cicadapitch.Instant, b *backend) bool {
	return slices.ContainsFunc(s.endpoints, func(c *backend) bool {
		return c != b && c.ejectedUntil == 0 && s.freeSlots(now, c) > 0
	})
}

// worthWaiting reports whether a job should wait for a busy endpoint: the
// endpoint probably has the job's prefix cached, and the wait takes less than
// half of the job's slack. It sets the wait of the offer.
func (s *State) worthWaiting(now cicadapitch.Instant, b *backend, j *job, o *offer) bool {
	if o.hitProbability < confirmedHit || b.ejectedUntil > 0 || len(b.affinityQueue) >= len(b.running) {
		return false
	}
	o.wait = s.timeUntilFreeSlot(now, b) + float64(len(b.affinityQueue))*o.serviceTime/float64(b.slowStartSlots)
	slack := float64(j.Deadline.Sub(now)) - s.withMargin(o.serviceTime)
	return o.wait < slack/2
}

// timeUntilFreeSlot returns the expected time until one of the endpoint's
// running calls ends, in milliseconds. It is at most the service time of a
// full-length call with the mean number of requested tokens.
func (s *State) timeUntilFreeSlot(now cicadapitch.Instant, b *backend) float64 {
	soonest := s.model.fullLengthServiceTime(cicadapitch.Tokens(s.model.requestedTokens.value)) * s.relativeLatency(b)
	for _, j := range b.running {
		remaining := s.expectedServiceTime(b, j, j.hitProbability) - float64(now.Sub(j.started))
		soonest = min(soonest, max(remaining, 0))
	}
	return soonest
}

func (s *State) chooseLeastOutstanding(now cicadapitch.Instant, j *job) offer {
	var best offer
	for _, b := range s.endpoints {
		if s.freeSlots(now, b) > 0 && (best.backend == nil || b.busy() < best.backend.busy()) {
			best = s.unscoredOffer(b, j)
		}
	}
	return best
}

func (s *State) chooseRoundRobin(now cicadapitch.Instant, j *job) offer {
	for range s.endpoints {
		s.roundRobinIndex++
		b := s.endpoints[s.roundRobinIndex%len(s.endpoints)]
		if s.freeSlots(now, b) > 0 {
			return s.unscoredOffer(b, j)
		}
	}
	return offer{}
}

// unscoredOffer returns the offer of an endpoint with a free slot without a
// score.
func (s *State) unscoredOffer(b *backend, j *job) offer {
	hitProbability := b.prefixes.hitProbability(j.Prefix)
	return offer{backend: b, hitProbability: hitProbability, serviceTime: s.expectedServiceTime(b, j, hitProbability)}
}
