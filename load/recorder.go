package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadapitch.example/cicadapitch"
)

// Range and precision of the histograms. Longer times count as the maximum.
const (
	maxLatencyMicros  = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// recorder records the results of requests, by pipeline and in total. It is safe
// for concurrent use.
type recorder struct {
	plan Plan
	mu   sync.Mutex
	all  *counts
	// byPipeline is in the order of the plan's pipelines.
	byPipeline []*counts
}

func newRecorder(p Plan) *recorder {
	r := &recorder{plan: p, all: newCounts()}
	for range p.Pipelines {
		r.byPipeline = append(r.byPipeline, newCounts())
	}
	return r
}

// skip records an arrival that was not sent.
func (r *recorder) skip(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.countsOf(a) {
		c.skipped++
	}
}

// countsOf returns the counts to update for an arrival: the total and those of its
// pipeline.
func (r *recorder) countsOf(a Arrival) []*counts { return []*counts{r.all, r.byPipeline[a.Pipeline]} }

// add records the result of a request that was sent.
func (r *recorder) add(o outcome) {
	p := r.plan.Pipelines[o.arrival.Pipeline]
	wrong := o.err == nil && p.Expected != nil && p.Expected(o.arrival.Input) != o.answer.Output
	met := o.err == nil && !wrong && o.latency <= r.plan.deadline(o.arrival).Duration()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.countsOf(o.arrival) {
		c.add(o, wrong, met)
		c.addChunkTimes(o, p)
	}
}

// counts holds the results of the requests to one pipeline or to all.
type counts struct {
	sent, answered, met, wrong, skipped            int64
	firstTokenMet, firstTokenMissed                int64
	chunkGapsMet, chunkGapsMissed                  int64
	refusals                                       map[cicadapitch.Kind]int64
	latency, refusedLatency, firstToken, chunkGaps *hdrhistogram.Histogram
	stages                                         map[cicadapitch.StageID]*stageCounts
}

// stageCounts holds the attempts and times of one stage, as reported in answers.
type stageCounts struct {
	attempts       int64
	queued, served *hdrhistogram.Histogram
}

// newHistogram returns a histogram of times from 1 µs to maxLatencyMicros.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

func newCounts() *counts {
	return &counts{
		refusals:       make(map[cicadapitch.Kind]int64),
		latency:        newHistogram(),
		refusedLatency: newHistogram(),
		firstToken:     newHistogram(),
		chunkGaps:      newHistogram(),
		stages:         make(map[cicadapitch.StageID]*stageCounts),
	}
}

func (c *counts) add(o outcome, wrong, met bool) {
	c.sent++
	if o.err != nil {
		c.refusals[cicadapitch.KindOf(o.err)]++
		record(c.refusedLatency, o.latency)
		return
	}
	c.answered++
	if wrong {
		c.wrong++
	}
	if met {
		c.met++
	}
	record(c.latency, o.latency)
	for _, s := range o.answer.Stages {
		c.addStage(s)
	}
}

func (c *counts) addStage(s cicadapitch.StageReport) {
	st := c.stages[s.Stage]
	if st == nil {
		st = &stageCounts{queued: newHistogram(), served: newHistogram()}
		c.stages[s.Stage] = st
	}
	st.attempts += int64(s.Attempts)
	record(st.queued, s.Queued.Duration())
	record(st.served, s.Served.Duration())
}

// addChunkTimes records the time to the first chunk and the times between chunks of
// an answered request, and whether they met their targets.
func (c *counts) addChunkTimes(o outcome, p Pipeline) {
	if o.err != nil || !o.streamed {
		return
	}
	record(c.firstToken, o.firstToken)
	countTarget(o.firstToken, p.FirstToken, &c.firstTokenMet, &c.firstTokenMissed)
	for _, g := range o.chunkGaps {
		record(c.chunkGaps, g)
		countTarget(g, p.BetweenTokens, &c.chunkGapsMet, &c.chunkGapsMissed)
	}
}

// countTarget increments met or missed, or neither if there is no target.
func countTarget(latency time.Duration, target cicadapitch.Millis, met, missed *int64) {
	switch {
	case target == 0:
	case latency <= target.Duration():
		*met++
	default:
		*missed++
	}
}

// record adds a time in microseconds to a histogram.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxLatencyMicros))
}
