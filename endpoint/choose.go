package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// batchSlope is how much slower a call is expected to be at a full endpoint
// than at an idle one.
const batchSlope = 0.5

// offer is one endpoint as it looks to one job, in milliseconds.
type offer struct {
	on      *backend
	hit     float64
	wait    float64
	service float64
	score   float64
	avoided bool
	// busy is true where the job has to wait for a slot.
	busy bool
}

// minWaitWeight is what a wait counts at least against the service time that it
// saves.
const minWaitWeight = 0.25

// better orders offers: endpoints to be avoided last, then by score, then by
// the calls they have.
func (o offer) better(p offer) bool {
	switch {
	case p.on == nil:
		return true
	case o.avoided != p.avoided:
		return p.avoided
	case o.score != p.score:
		return o.score < p.score
	case o.hit != p.hit:
		return o.hit > p.hit
	default:
		return o.on.busy() < p.on.busy()
	}
}

// expected returns the expected service time of a job on an endpoint.
func (s *State) expected(b *backend, j *job, hit float64) float64 {
	return s.model.serviceTime(j.Size, hit) * s.pace(b) * slowdown(s.filled(b))
}

// pace returns an endpoint's latency as a multiple of the shard's.
func (s *State) pace(b *backend) float64 {
	m := b.speed
	if b.reportCold {
		m = s.cold
	}
	if m.samples == 0 {
		return 1
	}
	return min(max(m.value, minPace), maxPace)
}

// filled returns the busy part of an endpoint's warm slots.
func (s *State) filled(b *backend) float64 {
	return float64(b.busy()) / float64(max(s.pool.WarmSlots, 1))
}

// slowdown returns how many times longer a call takes in a batch than alone.
func slowdown(filled float64) float64 { return 1 + batchSlope*filled }

// choose returns the best offer for a job. It is one of an endpoint with a
// free slot, or of a busy one whose prefix cache is worth the wait.
func (s *State) choose(now cicadapitch.Instant, j *job) offer {
	switch s.policy.Choice {
	case LeastOutstanding:
		return s.leastOutstanding(now, j)
	case RoundRobin:
		return s.roundRobin(now, j)
	default:
		return s.best(now, j)
	}
}

func (s *State) best(now cicadapitch.Instant, j *job) offer {
	var best offer
	for _, b := range s.endpoints {
		o, ok := s.offer(now, b, j)
		if ok && o.better(best) {
			best = o
		}
	}
	return best
}

// offer rates an endpoint by completion and by cost, which is the slot time it
// takes, with the weight of the configuration.
func (s *State) offer(now cicadapitch.Instant, b *backend, j *job) (offer, bool) {
	if s.limit(now, b) == 0 || (b.ejected > 0 && !j.Idempotent && s.lender(now, b)) {
		return offer{}, false
	}
	o := offer{on: b, hit: b.prefixes.hitProbability(j.Prefix), avoided: slices.Contains(j.Avoid, b.ID)}
	o.service = s.expected(b, j, o.hit)
	o.busy = s.free(now, b) == 0
	if o.busy {
		if o.avoided || !s.worthWaiting(now, b, j, &o) {
			return offer{}, false
		}
	}
	late := now.Add(cicadapitch.Millis(o.wait+o.service)) > j.Deadline
	if s.policy.Admission && late && !s.probes(now, b) {
		return offer{}, false
	}
	o.score = max(float64(s.weight), minWaitWeight)*o.wait + o.service
	return o, true
}

// lender is true if an endpoint other than b, and not on probation, can take
// work now.
func (s *State) lender(now cicadapitch.Instant, b *backend) bool {
	return slices.ContainsFunc(s.endpoints, func(c *backend) bool {
		return c != b && c.ejected == 0 && s.free(now, c) > 0
	})
}

// worthWaiting is true if a busy endpoint probably has the job's prefix cached
// and can take the job with time to spare. It sets the wait of the offer.
func (s *State) worthWaiting(now cicadapitch.Instant, b *backend, j *job, o *offer) bool {
	if o.hit < confirmedHit || b.ejected > 0 || len(b.line) >= len(b.running) {
		return false
	}
	o.wait = s.untilFree(now, b) + float64(len(b.line))*o.service/float64(b.bears)
	slack := float64(j.Deadline.Sub(now)) - s.cautious(o.service)
	return o.wait < slack/2
}

// untilFree returns the expected time until the endpoint has a free slot.
func (s *State) untilFree(now cicadapitch.Instant, b *backend) float64 {
	soonest := s.model.fullLengthServiceTime(cicadapitch.Tokens(s.model.requestedTokens.value)) * s.pace(b)
	for _, j := range b.running {
		left := s.expected(b, j, j.hit) - float64(now.Sub(j.started))
		soonest = min(soonest, max(left, 0))
	}
	return soonest
}

func (s *State) leastOutstanding(now cicadapitch.Instant, j *job) offer {
	var best offer
	for _, b := range s.endpoints {
		if s.free(now, b) > 0 && (best.on == nil || b.busy() < best.on.busy()) {
			best = s.plain(b, j)
		}
	}
	return best
}

func (s *State) roundRobin(now cicadapitch.Instant, j *job) offer {
	for range s.endpoints {
		s.turn++
		b := s.endpoints[s.turn%len(s.endpoints)]
		if s.free(now, b) > 0 {
			return s.plain(b, j)
		}
	}
	return offer{}
}

func (s *State) plain(b *backend, j *job) offer {
	hit := b.prefixes.hitProbability(j.Prefix)
	return offer{on: b, hit: hit, service: s.expected(b, j, hit)}
}
