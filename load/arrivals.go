package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Arrivals returns the requests of a plan in the order of their arrival. They
// follow a Poisson process, so the times between them are exponentially
// distributed. The same plan always gives the same arrivals.
func Arrivals(p Plan) ([]Arrival, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(p.Seed, 0))
	callers := newWeightedChoice(p.Callers, func(c Caller) float64 { return c.Weight })
	pipelines := newWeightedChoice(p.Pipelines, func(l Pipeline) float64 { return l.Weight })
	var list []Arrival
	for at := p.nextArrival(r, 0); at < p.Length.Duration() && len(list) < p.MaxRequests; at = p.nextArrival(r, at) {
		n := len(list)
		a := Arrival{Number: n, After: at, Caller: callers.pick(r), Pipeline: pipelines.pick(r)}
		a.Prefix = p.randomPrefix(r)
		a.Input = fmt.Sprintf("%srequest %d of seed %d", a.Prefix, n, p.Seed)
		list = append(list, a)
	}
	return list, nil
}

// randomPrefix returns a random prompt prefix.
func (p Plan) randomPrefix(r *rand.Rand) string {
	if p.Prefixes <= 0 {
		return ""
	}
	return fmt.Sprintf("prefix %d ", r.IntN(p.Prefixes))
}

// nextArrival returns the time of the arrival that follows an arrival at the given
// time, both from the start of the load. It uses the rate at the earlier arrival,
// even if a burst begins or ends in between.
func (p Plan) nextArrival(r *rand.Rand, at time.Duration) time.Duration {
	seconds := r.ExpFloat64() / p.rateAt(at)
	return at + time.Duration(seconds*float64(time.Second))
}

// rateAt returns the arrivals per second at a time from the start of the load.
func (p Plan) rateAt(at time.Duration) float64 {
	b := p.Burst
	if b.Period <= 0 || b.Factor <= 0 {
		return p.Rate
	}
	if at%b.Period.Duration() < (b.Period - b.Length).Duration() {
		return p.Rate
	}
	return p.Rate * b.Factor
}

// weightedChoice picks an index at random, in proportion to weights.
type weightedChoice struct {
	cumulativeWeights []float64
}

func newWeightedChoice[T any](list []T, weight func(T) float64) weightedChoice {
	var c weightedChoice
	sum := 0.0
	for _, v := range list {
		sum += weight(v)
		c.cumulativeWeights = append(c.cumulativeWeights, sum)
	}
	return c
}

func (c weightedChoice) pick(r *rand.Rand) int {
	last := len(c.cumulativeWeights) - 1
	x := r.Float64() * c.cumulativeWeights[last]
	for i, sum := range c.cumulativeWeights {
		if x < sum {
			return i
		}
	}
	return last
}
