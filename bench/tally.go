package bench

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadapitch.example/cicadapitch"
)

// tally counts what happens between the start and the end of the measurement.
// A request belongs to the second in which its caller first came.
type tally struct {
	from, to cicadapitch.Instant

	offered   []int
	answered  []int
	admitted  []int
	met       []int
	refusals  map[string]int
	misses    map[string]int
	costs     map[cicadapitch.PoolID]cicadapitch.Cost
	customers map[int]*customerTally
	calls     int
	stages    int
	busy      cicadapitch.Millis
	useful    cicadapitch.Millis
	first     *hdrhistogram.Histogram
	between   *hdrhistogram.Histogram
	// capacity is the number of requests that the fleet could carry in each
	// second.
	capacity []float64
}

type customerTally struct{ offered, answered, admitted int }

// The range of the histograms, in milliseconds and in tenths of one.
const (
	longestFirst   = 60_000
	longestBetween = 100_000
)

func newTally(from, to cicadapitch.Instant) *tally {
	n := int(to.Sub(from)/cicadapitch.Second) + 1
	return &tally{
		from: from, to: to,
		offered: make([]int, n), answered: make([]int, n), admitted: make([]int, n), met: make([]int, n),
		refusals: make(map[string]int), misses: make(map[string]int),
		costs:     make(map[cicadapitch.PoolID]cicadapitch.Cost),
		customers: make(map[int]*customerTally),
		first:     hdrhistogram.New(1, longestFirst, 2),
		between:   hdrhistogram.New(1, longestBetween, 2),
		capacity:  make([]float64, n),
	}
}

// second returns the second of an instant, or false outside the measurement.
func (t *tally) second(at cicadapitch.Instant) (int, bool) {
	if at < t.from || at >= t.to {
		return 0, false
	}
	return int(at.Sub(t.from) / cicadapitch.Second), true
}

func (t *tally) customer(i int) *customerTally {
	c, ok := t.customers[i]
	if !ok {
		c = &customerTally{}
		t.customers[i] = c
	}
	return c
}

func (t *tally) offer(r *request) {
	if n, ok := t.second(r.came); ok {
		t.offered[n]++
		t.customer(r.customer).offered++
	}
}

func (t *tally) refuse(r *request, why string) {
	if _, ok := t.second(r.came); ok {
		t.refusals[why]++
	}
}

func (t *tally) miss(r *request, why string) {
	if n, ok := t.second(r.came); ok {
		t.misses[why]++
		t.admitted[n]++
		t.customer(r.customer).admitted++
	}
}

func (t *tally) answer(r *request) {
	n, ok := t.second(r.came)
	if !ok {
		return
	}
	t.admitted[n]++
	t.met[n]++
	t.answered[n]++
	c := t.customer(r.customer)
	c.admitted++
	c.answered++
	t.useful += r.busy
}

func (t *tally) call(r *request, firstOfStage bool) {
	if _, ok := t.second(r.came); !ok {
		return
	}
	t.calls++
	if firstOfStage {
		t.stages++
	}
}

func (t *tally) work(r *request, pool cicadapitch.PoolID, busy cicadapitch.Millis, cost cicadapitch.Cost) {
	if _, ok := t.second(r.came); ok {
		t.busy += busy
		t.costs[pool] += cost
	}
}

func (t *tally) stream(r *request, first cicadapitch.Millis, between float64) {
	if _, ok := t.second(r.came); !ok {
		return
	}
	_ = t.first.RecordValue(min(int64(first), longestFirst))
	_ = t.between.RecordValue(min(int64(between*10), longestBetween))
}
