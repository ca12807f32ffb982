package load

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadapitch.example/cicadapitch"
)

// Summary holds the results of a load.
type Summary struct {
	// TookMillis is the time from the start of the load to the last answer.
	TookMillis cicadapitch.Millis
	// PerSecond is the mean number of answered requests per second.
	PerSecond float64
	All       PipelineSummary
	Pipelines []PipelineSummary
}

// PipelineSummary holds the results of the requests to one pipeline, or to all
// pipelines if Pipeline is empty.
type PipelineSummary struct {
	Pipeline cicadapitch.PipelineID `json:",omitempty"`
	Sent     int64
	Answered int64
	// Met counts the correct answers within their deadline.
	Met int64
	// Wrong counts the answers that differ from the expected one.
	Wrong int64
	// Skipped counts the arrivals that were not sent.
	Skipped int64
	// Attainment is Met as a fraction of all arrivals, skipped ones included.
	Attainment float64
	// FirstTokenMet and BetweenTokensMet are the fractions of first tokens and
	// of times between tokens that met their target. They are 0 without a target,
	// or if none met it.
	FirstTokenMet    float64
	BetweenTokensMet float64
	Refusals         []Refusal
	// Took is the latency of answered requests, Refused that of refused ones,
	// both from the planned arrival.
	Took          Quantiles
	Refused       Quantiles
	FirstToken    Quantiles
	BetweenTokens Quantiles
	Stages        []StageSummary
}

// Refusal counts the requests that ended with an error of one kind.
type Refusal struct {
	Kind  cicadapitch.Kind
	Count int64
}

// StageSummary holds the attempts and times of one stage, as reported in
// answers. Count is the number of answers with a report of the stage.
type StageSummary struct {
	Stage    cicadapitch.StageID
	Count    int64
	Attempts int64
	Queued   Quantiles
	Served   Quantiles
}

// Quantiles summarizes a distribution of times in microseconds.
type Quantiles struct {
	Count int64
	Mean  float64
	P50   int64
	P95   int64
	P99   int64
	Max   int64
}

// summary returns the results of a load of the given duration.
func (r *recorder) summary(duration time.Duration) *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Summary{
		TookMillis: cicadapitch.MillisOf(duration),
		PerSecond:  float64(r.all.answered) / duration.Seconds(),
		All:        r.all.summary(""),
	}
	for i, c := range r.byPipeline {
		s.Pipelines = append(s.Pipelines, c.summary(r.plan.Pipelines[i].ID))
	}
	return s
}

func (c *counts) summary(p cicadapitch.PipelineID) PipelineSummary {
	e := PipelineSummary{
		Pipeline: p, Sent: c.sent, Answered: c.answered, Met: c.met, Wrong: c.wrong, Skipped: c.skipped,
		Attainment:       fraction(c.met, c.sent+c.skipped),
		FirstTokenMet:    fraction(c.firstTokenMet, c.firstTokenMet+c.firstTokenMissed),
		BetweenTokensMet: fraction(c.chunkGapsMet, c.chunkGapsMet+c.chunkGapsMissed),
		Took:             quantiles(c.latency),
		Refused:          quantiles(c.refusedLatency),
		FirstToken:       quantiles(c.firstToken),
		BetweenTokens:    quantiles(c.chunkGaps),
	}
	for _, k := range slices.Sorted(maps.Keys(c.refusals)) {
		e.Refusals = append(e.Refusals, Refusal{Kind: k, Count: c.refusals[k]})
	}
	for _, id := range slices.Sorted(maps.Keys(c.stages)) {
		st := c.stages[id]
		e.Stages = append(e.Stages, StageSummary{
			Stage: id, Count: st.served.TotalCount(), Attempts: st.attempts,
			Queued: quantiles(st.queued), Served: quantiles(st.served),
		})
	}
	return e
}

// fraction returns n/total, or 0 if total is 0.
func fraction(n, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
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
