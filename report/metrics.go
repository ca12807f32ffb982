package report

import (
	"github.com/uber-go/tally/v4"

	"cicadapitch.example/cicadapitch"
)

// tookBuckets bound the latency histogram, in seconds. The letter's targets
// for the first token (1.4 s) and the deadline (9 s) are among them.
var tookBuckets = tally.ValueBuckets{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.4, 2, 3, 5, 7, 9, 15, 30}

// perCost scales costs to whole numbers for counters.
const perCost = 1_000_000

// metrics makes the counters of a recorder.
type metrics struct {
	scope  tally.Scope
	hedged tally.Counter
}

func newMetrics(scope tally.Scope, zone cicadapitch.ZoneID) *metrics {
	tagged := scope.Tagged(map[string]string{"zone": string(zone)})
	return &metrics{scope: tagged, hedged: tagged.Counter("hedged_total")}
}

func (m *metrics) retried(kind cicadapitch.Kind) {
	m.scope.Tagged(map[string]string{"kind": kind.String()}).Counter("retried_total").Inc(1)
}

func (m *metrics) dropped(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("dropped_total").Inc(1)
}

// requestMetrics are the counters of one customer and pipeline. The recorder's
// shard lock guards them.
type requestMetrics struct {
	scope    tally.Scope
	met      tally.Counter
	late     tally.Counter
	took     tally.Histogram
	refusals map[cicadapitch.Kind]tally.Counter
}

func (m *metrics) request(k requestKey) *requestMetrics {
	s := m.scope.Tagged(map[string]string{"customer": string(k.customer), "pipeline": string(k.pipeline)})
	return &requestMetrics{
		scope: s,
		met:   s.Tagged(map[string]string{"met": "true"}).Counter("answered_total"),
		late:  s.Tagged(map[string]string{"met": "false"}).Counter("answered_total"),
		took: m.scope.Tagged(map[string]string{"pipeline": string(k.pipeline)}).
			Histogram("took_seconds", tookBuckets),
		refusals: make(map[cicadapitch.Kind]tally.Counter),
	}
}

func (m *requestMetrics) answered(took cicadapitch.Millis, inTime bool) {
	m.took.RecordValue(took.Duration().Seconds())
	if inTime {
		m.met.Inc(1)
		return
	}
	m.late.Inc(1)
}

func (m *requestMetrics) refused(kind cicadapitch.Kind) {
	n, ok := m.refusals[kind]
	if !ok {
		n = m.scope.Tagged(map[string]string{"kind": kind.String()}).Counter("refused_total")
		m.refusals[kind] = n
	}
	n.Inc(1)
}

// stageMetrics are the counters of one stage in one zone.
type stageMetrics struct {
	count    tally.Counter
	attempts tally.Counter
	queued   tally.Counter
	busy     tally.Counter
	tokens   tally.Counter
	cost     tally.Counter
}

func (m *metrics) stage(k stageKey) *stageMetrics {
	s := m.scope.Tagged(map[string]string{
		"pipeline": string(k.pipeline), "stage": string(k.stage), "endpoint_zone": string(k.zone),
	})
	return &stageMetrics{
		count:    s.Counter("stage_total"),
		attempts: s.Counter("stage_attempts_total"),
		queued:   s.Counter("stage_queued_milliseconds_total"),
		busy:     s.Counter("stage_served_milliseconds_total"),
		tokens:   s.Counter("stage_tokens_total"),
		cost:     s.Counter("stage_cost_millionths_total"),
	}
}

func (m *stageMetrics) served(t cicadapitch.StageReport) {
	m.count.Inc(1)
	m.attempts.Inc(int64(t.Attempts))
	m.queued.Inc(int64(t.Queued))
	m.busy.Inc(int64(t.Served))
	m.tokens.Inc(int64(t.Tokens))
	m.cost.Inc(int64(t.Cost * perCost))
}
