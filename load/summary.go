package load

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadapitch.example/cicadapitch"
)

// Summary is how the requests of a load ended.
type Summary struct {
	// TookMillis is the length of the load, the last answers included.
	TookMillis cicadapitch.Millis
	// PerSecond counts the answered requests a second.
	PerSecond float64
	All       PipelineSummary
	Pipelines []PipelineSummary
}

// PipelineSummary is how the requests of one kind ended.
type PipelineSummary struct {
	Pipeline cicadapitch.PipelineID `json:",omitempty"`
	Sent     int64
	Answered int64
	// Met counts whole answers within their deadline, Wrong those that
	// differ from the expected one. Skipped arrivals were not sent.
	Met     int64
	Wrong   int64
	Skipped int64
	// Attainment is the part of the arrivals whose answer was met.
	Attainment float64
	// FirstTokenMet and BetweenTokensMet are parts of those with a target.
	FirstTokenMet    float64
	BetweenTokensMet float64
	Refusals         []Refusal
	Took             Quantiles
	Refused          Quantiles
	FirstToken       Quantiles
	BetweenTokens    Quantiles
	Stages           []StageSummary
}

// Refusal counts the errors of one kind.
type Refusal struct {
	Kind  cicadapitch.Kind
	Count int64
}

// StageSummary is what one stage took by the reports in the answers.
type StageSummary struct {
	Stage    cicadapitch.StageID
	Count    int64
	Attempts int64
	Queued   Quantiles
	Served   Quantiles
}

// Quantiles are spans in microseconds.
type Quantiles struct {
	Count int64
	Mean  float64
	P50   int64
	P95   int64
	P99   int64
	Max   int64
}

func (r *recorder) summary(took time.Duration) *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Summary{
		TookMillis: cicadapitch.MillisOf(took),
		PerSecond:  float64(r.all.answered) / took.Seconds(),
		All:        r.all.ended(""),
	}
	for i, t := range r.each {
		s.Pipelines = append(s.Pipelines, t.ended(r.plan.Pipelines[i].ID))
	}
	return s
}

func (t *tally) ended(p cicadapitch.PipelineID) PipelineSummary {
	e := PipelineSummary{
		Pipeline: p, Sent: t.sent, Answered: t.answered, Met: t.met, Wrong: t.wrong, Skipped: t.skipped,
		Attainment:       part(t.met, t.sent+t.skipped),
		FirstTokenMet:    part(t.firstMet, t.firstMet+t.firstMissed),
		BetweenTokensMet: part(t.gapsMet, t.gapsMet+t.gapsMissed),
		Took:             quantiles(t.took),
		Refused:          quantiles(t.refused),
		FirstToken:       quantiles(t.first),
		BetweenTokens:    quantiles(t.gaps),
	}
	for _, k := range slices.Sorted(maps.Keys(t.refusals)) {
		e.Refusals = append(e.Refusals, Refusal{Kind: k, Count: t.refusals[k]})
	}
	for _, id := range slices.Sorted(maps.Keys(t.stages)) {
		st := t.stages[id]
		e.Stages = append(e.Stages, StageSummary{
			Stage: id, Count: st.served.TotalCount(), Attempts: st.attempts,
			Queued: quantiles(st.queued), Served: quantiles(st.served),
		})
	}
	return e
}

func part(n, of int64) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		Mean:  h.Mean(),
		P50:   h.ValueAtQuantile(50),
		P95:   h.ValueAtQuantile(95),
		P99:   h.ValueAtQuantile(99),
		Max:   h.Max(),
	}
}
