package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// fullBatchSlowdown is the increase in latency from an idle endpoint to a full
// one, as a fraction of the latency at the idle one.
const fullBatchSlowdown = 0.5

// candidate is an endpoint that may get a job, with times in milliseconds.
type candidate struct {
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

// minWaitWeight is the minimum weight of the waiting time in the score of a
// candidate, where the service time has weight 1.
const minWaitWeight = 0.25

// better reports whether c is preferred to other. The criteria are, in order:
// an endpoint that is not avoided, the lower score, the higher hit probability,
// fewer calls at the endpoint.
func (c candidate) better(other candidate) bool {
	switch {
	case other.backend == nil:
		return true
	case c.avoided != other.avoided:
		return other.avoided
	case c.score != other.score:
		return c.score < other.score
	case c.hitProbability != other.hitProbability:
		return c.hitProbability > other.hitProbability
	default:
		return c.backend.busy() < other.backend.busy()
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

// choose returns the candidate that Policy.Choice prefers for a job. Its backend
// has a free slot; with the choice Expected it may also be a busy one that the
// job should wait for because of its prefix cache. The backend is nil if no
// endpoint can take the job.
func (s *State) choose(now cicadapitch.Instant, j *job) candidate {
	switch s.policy.Choice {
	case LeastOutstanding:
		return s.chooseLeastOutstanding(now, j)
	case RoundRobin:
		return s.chooseRoundRobin(now, j)
	default:
		return s.chooseExpected(now, j)
	}
}

func (s *State) chooseExpected(now cicadapitch.Instant, j *job) candidate {
	var best candidate
	for _, b := range s.endpoints {
		c, ok := s.evaluate(now, b, j)
		if ok && c.better(best) {
			best = c
		}
	}
	return best
}

// evaluate returns an endpoint as a candidate for a job, or false if the
// endpoint cannot take the job. The score is the waiting time multiplied by the
// weight of the configuration (at least minWaitWeight), plus the service time.
// The cost of a job is taken to be proportional to its service time. A lower score
// is better.
func (s *State) evaluate(now cicadapitch.Instant, b *backend, j *job) (candidate, bool) {
	if s.slotLimit(now, b) == 0 || (b.ejectedUntil > 0 && !j.Idempotent && s.otherHasFreeSlot(now, b)) {
		return candidate{}, false
	}
	c := candidate{backend: b, hitProbability: b.prefixes.hitProbability(j.Prefix), avoided: slices.Contains(j.Avoid, b.ID)}
	c.serviceTime = s.expectedServiceTime(b, j, c.hitProbability)
	c.busy = s.freeSlots(now, b) == 0
	if c.busy {
		if c.avoided || !s.evaluateWait(now, b, j, &c) {
			return candidate{}, false
		}
	}
	late := now.Add(cicadapitch.Millis(c.wait+c.serviceTime)) > j.Deadline
	if s.policy.Admission && late && !s.probeDue(now, b) {
		return candidate{}, false
	}
	c.score = max(float64(s.weight), minWaitWeight)*c.wait + c.serviceTime
	return c, true
}

// otherHasFreeSlot reports whether another endpoint, which is neither ejected nor
// on probation, can take a call now.
func (s *State) otherHasFreeSlot(now cicadapitch.Instant, b *backend) bool {
	return slices.ContainsFunc(s.endpoints, func(c *backend) bool {
		return c != b && c.ejectedUntil == 0 && s.freeSlots(now, c) > 0
	})
}

// evaluateWait sets the wait of a candidate that is busy, and reports whether the
// job should wait for it. The endpoint must probably have the job's prefix cached,
// be neither ejected nor on probation, and have fewer jobs in its affinity queue
// than running calls; otherwise the wait is not set. The wait must take less than
// half of the job's slack.
func (s *State) evaluateWait(now cicadapitch.Instant, b *backend, j *job, c *candidate) bool {
	if c.hitProbability < confirmedHit || b.ejectedUntil > 0 || len(b.affinityQueue) >= len(b.running) {
		return false
	}
	c.wait = s.timeUntilFreeSlot(now, b) + float64(len(b.affinityQueue))*c.serviceTime/float64(b.slowStartSlots)
	slack := float64(j.Deadline.Sub(now)) - s.withMargin(c.serviceTime)
	return c.wait < slack/2
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

func (s *State) chooseLeastOutstanding(now cicadapitch.Instant, j *job) candidate {
	var best candidate
	for _, b := range s.endpoints {
		if s.freeSlots(now, b) > 0 && (best.backend == nil || b.busy() < best.backend.busy()) {
			best = s.unscoredCandidate(b, j)
		}
	}
	return best
}

func (s *State) chooseRoundRobin(now cicadapitch.Instant, j *job) candidate {
	for range s.endpoints {
		s.roundRobinIndex++
		b := s.endpoints[s.roundRobinIndex%len(s.endpoints)]
		if s.freeSlots(now, b) > 0 {
			return s.unscoredCandidate(b, j)
		}
	}
	return candidate{}
}

// unscoredCandidate returns an endpoint with a free slot as a candidate without a
// score.
func (s *State) unscoredCandidate(b *backend, j *job) candidate {
	hitProbability := b.prefixes.hitProbability(j.Prefix)
	return candidate{backend: b, hitProbability: hitProbability, serviceTime: s.expectedServiceTime(b, j, hitProbability)}
}
