package bench

import (
	"maps"
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// Result holds the measurements of one run.
type Result struct {
	Case    string
	Fleet   string
	Variant string
	Seed    uint64

	// Offered is the number of callers. Answered is the number of callers who
	// got a complete answer in time, including after a resubmission.
	Offered  int
	Answered int
	// Attainment is the fraction of admitted requests that were answered
	// completely and in time.
	Attainment float64
	// Served is the fraction of callers who were answered.
	Served float64
	// Goodput is Answered divided by the number of requests that could be
	// answered: the sum, over all seconds, of the lesser of the offered requests
	// and the capacity.
	Goodput float64
	// CostByPool is the cost in each pool per answered request.
	CostByPool map[cicadapitch.PoolID]cicadapitch.Cost
	// Refusals and Misses count refused submissions and admitted requests
	// without an answer in time, by reason.
	Refusals map[string]int
	Misses   map[string]int
	// WorstCustomer is the least fraction, over the customers, of answered
	// requests to the lesser of offered load and fair share.
	WorstCustomer float64
	// Wasted is the fraction of the slot time that was spent on requests
	// without an answer (column "wasted").
	Wasted float64
	// MaxColdCalls is the highest number of calls that a cold endpoint ran
	// concurrently, counting only calls that started in the cold start.
	// ColdOverloads counts the calls that started when such calls already took
	// all cold slots. LateColdOverloads counts the calls that started more than
	// 2 s into a cold start when running calls, older ones included, already
	// took all cold slots.
	MaxColdCalls      cicadapitch.Slots
	ColdOverloads     int
	LateColdOverloads int
	// Amplification is the mean number of calls per stage that was called.
	Amplification float64
	// FirstToken and BetweenTokens are 95th percentiles in milliseconds.
	FirstToken    cicadapitch.Millis
	BetweenTokens float64
	// ModelLoads is the number of endpoints that loaded a version.
	ModelLoads int
	// AttainmentBySecond is the attainment of the requests first submitted in
	// each second, or -1 if none of them was admitted.
	AttainmentBySecond []float64
}

// Cost returns the cost in all pools per answered request.
func (r Result) Cost() cicadapitch.Cost { return lo.Sum(lo.Values(r.CostByPool)) }

// betweenTokensUnit is the unit of the between-token histogram in milliseconds.
const betweenTokensUnit = 0.1

// result computes the measurements from the counts.
func (t *tally) result(fleet Fleet) Result {
	r := Result{
		Offered: lo.Sum(t.offered), Answered: lo.Sum(t.answered),
		CostByPool: make(map[cicadapitch.PoolID]cicadapitch.Cost),
		Refusals:   t.refusals, Misses: t.misses,
		Attainment:    ratio(lo.Sum(t.met), lo.Sum(t.admitted)),
		Amplification: ratio(t.calls, t.calledStages),
		Wasted:        1 - float64(t.answeredSlotTime)/max(float64(t.slotTime), 1),
		FirstToken:    cicadapitch.Millis(t.firstToken.ValueAtQuantile(95)),
		BetweenTokens: float64(t.betweenTokens.ValueAtQuantile(95)) * betweenTokensUnit,
	}
	r.Served = ratio(r.Answered, r.Offered)
	servable, capacity := 0.0, 0.0
	for i, n := range t.offered {
		servable += min(float64(n), t.capacity[i])
		capacity += t.capacity[i]
	}
	r.Goodput = float64(r.Answered) / max(servable, 1)
	r.WorstCustomer = t.worstCustomer(capacity / float64(len(fleet.Customers)))
	for _, id := range slices.Sorted(maps.Keys(t.costs)) {
		r.CostByPool[id] = t.costs[id] / cicadapitch.Cost(max(r.Answered, 1))
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

// worstCustomer returns the least fraction, over the customers, of answered
// requests to the lesser of offered load and fair share.
func (t *tally) worstCustomer(share float64) float64 {
	worst := 1.0
	for _, c := range t.customers {
		entitled := min(float64(c.offered), share)
		worst = min(worst, float64(c.answered)/max(entitled, 1))
	}
	return worst
}

// ratio returns a/b, or 1 if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 1
	}
	return float64(a) / float64(b)
}
