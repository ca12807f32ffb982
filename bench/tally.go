package bench

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadapitch.example/cicadapitch"
)

// tally counts the events of the measurement, from its start to its end. A
// request counts in the second in which its caller first submitted it.
type tally struct {
	from, to cicadapitch.Instant

	// offered, answered, admitted and met hold counts by second. met counts the
	// admitted requests that were answered in time.
	offered   []int
	answered  []int
	admitted  []int
	met       []int
	refusals  map[string]int
	misses    map[string]int
	costs     map[cicadapitch.PoolID]cicadapitch.Cost
	customers map[int]*customerTally
	// calls counts the calls, calledStages the stages of requests that had at
	// least one call.
	calls        int
	calledStages int
	// slotTime is the slot time of all calls, answeredSlotTime the part of it
	// that was spent on answered requests.
	slotTime         cicadapitch.Millis
	answeredSlotTime cicadapitch.Millis
	firstToken       *hdrhistogram.Histogram
	betweenTokens    *hdrhistogram.Histogram
	// capacity is the number of requests that the fleet could serve in each
	// second.
	capacity []float64
}

type customerTally struct{ offered, answered, admitted int }

// Upper bounds of the histograms.
const (
	maxFirstTokenMillis    = 60_000
	maxBetweenTokensTenths = 100_000
)

func newTally(from, to cicadapitch.Instant) *tally {
	n := int(to.Sub(from)/cicadapitch.Second) + 1
	return &tally{
		from: from, to: to,
		offered: make([]int, n), answered: make([]int, n), admitted: make([]int, n), met: make([]int, n),
		refusals: make(map[string]int), misses: make(map[string]int),
		costs:         make(map[cicadapitch.PoolID]cicadapitch.Cost),
		customers:     make(map[int]*customerTally),
		firstToken:    hdrhistogram.New(1, maxFirstTokenMillis, 2),
		betweenTokens: hdrhistogram.New(1, maxBetweenTokensTenths, 2),
		capacity:      make([]float64, n),
	}
}

// second returns the second of the measurement that contains an instant, or
// false if the instant is outside the measurement.
func (t *tally) second(at cicadapitch.Instant) (int, bool) {
	if at < t.from || at >= t.to {
		return 0, false
	}
	return int(at.Sub(t.from) / cicadapitch.Second), true
}

// customer returns the counts of customer i.
func (t *tally) customer(i int) *customerTally {
	c, ok := t.customers[i]
	if !ok {
		c = &customerTally{}
		t.customers[i] = c
	}
	return c
}

// recordOffered counts a caller.
func (t *tally) recordOffered(r *request) {
	if n, ok := t.second(r.firstSubmittedAt); ok {
		t.offered[n]++
		t.customer(r.customer).offered++
	}
}

// recordRefusal counts a refused submission by reason.
func (t *tally) recordRefusal(r *request, reason string) {
	if _, ok := t.second(r.firstSubmittedAt); ok {
		t.refusals[reason]++
	}
}

// recordMiss counts an admitted request that got no answer in time.
func (t *tally) recordMiss(r *request, reason string) {
	if n, ok := t.second(r.firstSubmittedAt); ok {
		t.misses[reason]++
		t.admitted[n]++
		t.customer(r.customer).admitted++
	}
}

// recordAnswer counts a request that was answered in time.
func (t *tally) recordAnswer(r *request) {
	n, ok := t.second(r.firstSubmittedAt)
	if !ok {
		return
	}
	t.admitted[n]++
	t.met[n]++
	t.answered[n]++
	c := t.customer(r.customer)
	c.admitted++
	c.answered++
	t.answeredSlotTime += r.slotTime
}

// recordCall counts a call, and its stage if it is the first call of the stage.
func (t *tally) recordCall(r *request, firstOfStage bool) {
	if _, ok := t.second(r.firstSubmittedAt); !ok {
		return
	}
	t.calls++
	if firstOfStage {
		t.calledStages++
	}
}

// recordWork adds the slot time and the cost of a call.
func (t *tally) recordWork(r *request, pool cicadapitch.PoolID, slotTime cicadapitch.Millis, cost cicadapitch.Cost) {
	if _, ok := t.second(r.firstSubmittedAt); ok {
		t.slotTime += slotTime
		t.costs[pool] += cost
	}
}

// recordStream records the time to the first token and the time between tokens
// of a stream, in milliseconds.
func (t *tally) recordStream(r *request, first cicadapitch.Millis, between float64) {
	if _, ok := t.second(r.firstSubmittedAt); !ok {
		return
	}
	_ = t.firstToken.RecordValue(min(int64(first), maxFirstTokenMillis))
	_ = t.betweenTokens.RecordValue(min(int64(between*10), maxBetweenTokensTenths))
}
