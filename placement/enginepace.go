package placement

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

const (
	// paceTimeConstant is the time constant with which measurements of an engine's pace lose their
	// weight: a few tens of requests, so that single slow ones do not count as a slow engine.
	paceTimeConstant = 10 * cicadapitch.Second
	// paceInertia is the weight, in milliseconds of expected time, of the assumption that an engine is
	// as fast as the others.
	paceInertia = 100.0
	// maxPaceSample bounds the ratio of a measured time to the expected one, and its reciprocal.
	maxPaceSample = 4.0
)

// pace is how long first events take in relation to the time that is expected at a nominal engine with
// the same load. It is 1 for a nominal engine and 2 for one of half its speed.
type pace struct {
	// took and expected are sums over measurements in milliseconds, as of at.
	took, expected float64
	at             cicadapitch.Instant
}

// decay returns the factor by which the sums have decayed.
func (p *pace) decay(now cicadapitch.Instant) float64 {
	return math.Exp(-float64(max(now.Sub(p.at), 0)) / float64(paceTimeConstant))
}

// record adds the time of a first event and the time that was expected at a nominal engine, both in
// milliseconds.
func (p *pace) record(now cicadapitch.Instant, took, expected float64) {
	if expected <= 0 {
		return
	}
	took = min(max(took, expected/maxPaceSample), expected*maxPaceSample)
	decay := p.decay(now)
	p.took, p.expected, p.at = p.took*decay+took, p.expected*decay+expected, now
}

// ratio returns the pace, where usual is that of other engines. It comes close to usual as the
// measurements age.
func (p *pace) ratio(now cicadapitch.Instant, usual float64) float64 {
	if p.expected == 0 {
		return usual
	}
	decay := p.decay(now)
	return (p.took*decay + paceInertia*usual) / (p.expected*decay + paceInertia)
}
