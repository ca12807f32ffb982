package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Arrivals returns the requests of a plan in the order of their arrival. The
// spans between them are exponential. The same plan gives the same arrivals.
func Arrivals(p Plan) ([]Arrival, error) {
	if err := p.check(); err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(p.Seed, 0))
	callers := newChoice(p.Callers, func(c Caller) float64 { return c.Weight })
	pipelines := newChoice(p.Pipelines, func(l Pipeline) float64 { return l.Weight })
	var list []Arrival
	for at := p.next(r, 0); at < p.Length.Duration() && len(list) < p.MaxRequests; at = p.next(r, at) {
		n := len(list)
		a := Arrival{Number: n, After: at, Caller: callers.pick(r), Pipeline: pipelines.pick(r)}
		a.Prefix = p.prefix(r)
		a.Input = fmt.Sprintf("%srequest %d of seed %d", a.Prefix, n, p.Seed)
		list = append(list, a)
	}
	return list, nil
}

func (p Plan) prefix(r *rand.Rand) string {
	if p.Prefixes <= 0 {
		return ""
	}
	return fmt.Sprintf("prefix %d ", r.IntN(p.Prefixes))
}

// next returns the arrival that follows one at the given span. A rate that
// changes between the two is that of the earlier one.
func (p Plan) next(r *rand.Rand, at time.Duration) time.Duration {
	seconds := r.ExpFloat64() / p.rateAt(at)
	return at + time.Duration(seconds*float64(time.Second))
}

func (p Plan) rateAt(at time.Duration) float64 {
	b := p.Burst
	if b.Every <= 0 || b.Factor <= 0 {
		return p.Rate
	}
	if at%b.Every.Duration() < (b.Every - b.Length).Duration() {
		return p.Rate
	}
	return p.Rate * b.Factor
}

// choice picks one of several by their weights.
type choice struct {
	sums []float64
}

func newChoice[T any](list []T, weight func(T) float64) choice {
	var c choice
	sum := 0.0
	for _, v := range list {
		sum += weight(v)
		c.sums = append(c.sums, sum)
	}
	return c
}

func (c choice) pick(r *rand.Rand) int {
	last := len(c.sums) - 1
	x := r.Float64() * c.sums[last]
	for i, sum := range c.sums {
		if x < sum {
			return i
		}
	}
	return last
}
