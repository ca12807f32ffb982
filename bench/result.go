package bench

import (
	"maps"
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// Result is what one run measured.
type Result struct {
	Case    string
	Fleet   string
	Variant string
	Seed    uint64

	// Offered counts callers, Answered those who got a whole answer in time,
	// be it after coming back.
	Offered  int
	Answered int
	// Attainment is the part of the admitted requests that were answered
	// whole and in time.
	Attainment float64
	// Served is the part of the callers who were answered.
	Served float64
	// Goodput is Answered as a part of the lesser of offered load and
	// capacity.
	Goodput float64
	// CostByStage is the cost of each pool per answered request.
	CostByStage map[cicadapitch.PoolID]cicadapitch.Cost
	Refusals    map[string]int
	Misses      map[string]int
	// WorstCustomer is the least part that a customer got of its own load or
	// its fair share, whichever is less.
	WorstCustomer float64
	// Wasted is the part of the slot time that led to no answer.
	Wasted float64
	// MaxOnCold is the highest number of calls that a cold endpoint was given
	// at once. OverCold counts the calls above what it bears. OverFull counts
	// the calls that came 2 s into a cold start or later while it was above
	// what it bears with its older work.
	MaxOnCold cicadapitch.Slots
	OverCold  int
	OverFull  int
	// Amplification is the number of calls per stage that was called.
	Amplification float64
	// FirstToken and BetweenTokens are 95th percentiles in milliseconds.
	FirstToken    cicadapitch.Millis
	BetweenTokens float64
	// ModelLoads counts the endpoints that loaded a version.
	ModelLoads int
	// AttainmentBySecond is the attainment by second, -1 where none was admitted.
	AttainmentBySecond []float64
}

// Cost returns the cost of all stages per answered request.
func (r Result) Cost() cicadapitch.Cost { return lo.Sum(lo.Values(r.CostByStage)) }

// tenth converts the between-token histogram to milliseconds.
const tenth = 0.1

func (t *tally) result(fleet Fleet) Result {
	r := Result{
		Offered: lo.Sum(t.offered), Answered: lo.Sum(t.answered),
		CostByStage: make(map[cicadapitch.PoolID]cicadapitch.Cost),
		Refusals:    t.refusals, Misses: t.misses,
		Attainment:    ratio(lo.Sum(t.met), lo.Sum(t.admitted)),
		Amplification: ratio(t.calls, t.stages),
		Wasted:        1 - float64(t.useful)/max(float64(t.busy), 1),
		FirstToken:    cicadapitch.Millis(t.first.ValueAtQuantile(95)),
		BetweenTokens: float64(t.between.ValueAtQuantile(95)) * tenth,
	}
	r.Served = ratio(r.Answered, r.Offered)
	could, capacity := 0.0, 0.0
	for i, n := range t.offered {
		could += min(float64(n), t.capacity[i])
		capacity += t.capacity[i]
	}
	r.Goodput = float64(r.Answered) / max(could, 1)
	r.WorstCustomer = t.worst(capacity / float64(len(fleet.Customers)))
	for _, id := range slices.Sorted(maps.Keys(t.costs)) {
		r.CostByStage[id] = t.costs[id] / cicadapitch.Cost(max(r.Answered, 1))
	}
	for i := range t.admitted {
		a := -1.0
		if t.admitted[i] > 0 {
			a = ratio(t.met[i], t.admitted[i])
		}
		r.AttainmentBySecond = append(r.AttainmentBySecond, a)
	}
	return r
}

// worst returns the least part that a customer got of its load or of the fair
// share.
func (t *tally) worst(share float64) float64 {
	worst := 1.0
	for _, c := range t.customers {
		due := min(float64(c.offered), share)
		worst = min(worst, float64(c.answered)/max(due, 1))
	}
	return worst
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}
