package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadapitch.example/cicadapitch"
)

// Range of the histograms in microseconds.
const (
	maxMicros = int64(10 * time.Minute / time.Microsecond)
	digits    = 3
)

// recorder counts how requests ended, by pipeline and in all.
type recorder struct {
	plan Plan
	mu   sync.Mutex
	all  *tally
	each []*tally
}

func newRecorder(p Plan) *recorder {
	r := &recorder{plan: p, all: newTally()}
	for range p.Pipelines {
		r.each = append(r.each, newTally())
	}
	return r
}

func (r *recorder) skip(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.of(a) {
		t.skipped++
	}
}

func (r *recorder) of(a Arrival) []*tally { return []*tally{r.all, r.each[a.Pipeline]} }

func (r *recorder) add(o outcome) {
	p := r.plan.Pipelines[o.arrival.Pipeline]
	wrong := o.err == nil && p.Expected != nil && p.Expected(o.arrival.Input) != o.answer.Output
	met := o.err == nil && !wrong && o.took <= r.plan.deadline(o.arrival).Duration()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.of(o.arrival) {
		t.add(o, wrong, met)
		t.addTargets(o, p)
	}
}

// tally is the counts of one kind of request.
type tally struct {
	sent, answered, met, wrong, skipped int64
	firstMet, firstMissed               int64
	gapsMet, gapsMissed                 int64
	refusals                            map[cicadapitch.Kind]int64
	took, refused, first, gaps          *hdrhistogram.Histogram
	stages                              map[cicadapitch.StageID]*stageTally
}

// stageTally is what one stage took by the answers.
type stageTally struct {
	attempts       int64
	queued, served *hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, digits) }

func newTally() *tally {
	return &tally{
		refusals: make(map[cicadapitch.Kind]int64),
		took:     newHistogram(),
		refused:  newHistogram(),
		first:    newHistogram(),
		gaps:     newHistogram(),
		stages:   make(map[cicadapitch.StageID]*stageTally),
	}
}

func (t *tally) add(o outcome, wrong, met bool) {
	t.sent++
	if o.err != nil {
		t.refusals[cicadapitch.KindOf(o.err)]++
		record(t.refused, o.took)
		return
	}
	t.answered++
	if wrong {
		t.wrong++
	}
	if met {
		t.met++
	}
	record(t.took, o.took)
	for _, s := range o.answer.Stages {
		t.addStage(s)
	}
}

func (t *tally) addStage(s cicadapitch.StageReport) {
	st := t.stages[s.Stage]
	if st == nil {
		st = &stageTally{queued: newHistogram(), served: newHistogram()}
		t.stages[s.Stage] = st
	}
	st.attempts += int64(s.Attempts)
	record(st.queued, s.Queued.Duration())
	record(st.served, s.Served.Duration())
}

// addTargets counts the tokens of answered requests against their targets.
func (t *tally) addTargets(o outcome, p Pipeline) {
	if o.err != nil || !o.streamed {
		return
	}
	record(t.first, o.first)
	count(o.first, p.FirstToken, &t.firstMet, &t.firstMissed)
	for _, g := range o.gaps {
		record(t.gaps, g)
		count(g, p.BetweenTokens, &t.gapsMet, &t.gapsMissed)
	}
}

func count(took time.Duration, target cicadapitch.Millis, met, missed *int64) {
	switch {
	case target == 0:
	case took <= target.Duration():
		*met++
	default:
		*missed++
	}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 0), maxMicros))
}
