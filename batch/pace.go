package batch

import "cicadapitch.example/cicadapitch"

const (
	// paceSamples is the number of figures over which the lasting pace of an endpoint is an average: some seconds of
	// calls, in which noise that changes many times a second averages out.
	paceSamples = 10
	// paceTTL is how long the lasting pace is known after the last figure.
	paceTTL = 30 * cicadapitch.Second
	// slowerPace is the ratio of the paces of two endpoints from which the slower one leaves urgent jobs to the
	// other. It is above what averages of noise differ by.
	slowerPace = 1.25
	// paceSlack is the share of a job's time until its due time within which it must end at a slower endpoint. The
	// rest is left to the next stages.
	paceSlack = 0.7
)

// pace is the lasting factor by which work at an endpoint takes longer than normal, by the endpoint's own figures.
type pace struct {
	factor  float64
	samples int
	at      cicadapitch.Instant
}

// record adds a figure.
func (p *pace) record(now cicadapitch.Instant, factor float64) {
	if now.Sub(p.at) > paceTTL {
		p.samples = 0
	}
	p.samples = min(p.samples+1, paceSamples)
	p.factor += (factor - p.factor) / float64(p.samples)
	p.at = now
}

// known returns the factor and whether it is known.
func (p *pace) known(now cicadapitch.Instant) (float64, bool) {
	return p.factor, p.samples > 0 && now.Sub(p.at) <= paceTTL
}

// RecordPace records how long work takes at an endpoint at the moment by its own word, as a factor of
// the normal time.
func (p *Planner) RecordPace(now cicadapitch.Instant, id cicadapitch.EndpointID, factor float64) {
	if s := p.endpoints[id]; s != nil {
		s.pace.record(now, factor)
	}
}

// ExpectedPace returns the lasting factor by which work at an endpoint takes longer than normal, or 1 if the endpoint does not
// name its load.
func (p *Planner) ExpectedPace(now cicadapitch.Instant, id cicadapitch.EndpointID) float64 {
	if s := p.endpoints[id]; s != nil {
		return s.expectedPace(now)
	}
	return 1
}

// expectedPace returns the factor by which a call that starts now is expected to take longer than ExpectedDuration. It is 1 if
// the endpoint does not name its load.
func (s *endpointState) expectedPace(now cicadapitch.Instant) float64 {
	if factor, ok := s.pace.known(now); ok {
		return factor
	}
	return 1
}

// fasterRate returns the rate, in pieces per millisecond, and the least pace of the endpoints that are known to be faster than s.
func (p *Planner) fasterRate(now cicadapitch.Instant, s *endpointState) (rate, least float64) {
	own, ok := s.pace.known(now)
	if !ok {
		return 0, 0
	}
	size := p.typicalCallSize()
	for _, other := range p.endpoints {
		factor, ok := other.pace.known(now)
		if !ok || other.removed || other.backoff >= maxBackoff || factor*slowerPace > own {
			continue
		}
		rate += size / (float64(p.ExpectedDuration(int(size))) * other.currentSlowdown(now))
		if least == 0 || factor < least {
			least = factor
		}
	}
	return rate, least
}

// endsEarlierElsewhere reports whether a job that would end here at end is better left to faster endpoints: it would be late
// here or nearly so, and end earlier there behind the given number of pieces.
func (p *Planner) endsEarlierElsewhere(now, end cicadapitch.Instant, job *jobState, ahead int, rate, least float64) bool {
	if rate <= 0 || float64(end.Sub(now)) <= paceSlack*float64(job.DueAt.Sub(now)) {
		return false
	}
	elsewhere := float64(ahead)/rate + least*float64(p.ExpectedDuration(p.spec.MaxPieces))
	return now.Add(cicadapitch.Millis(elsewhere)) < end
}
