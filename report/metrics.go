package report

import (
	"github.com/uber-go/tally/v4"

	"cicadapitch.example/cicadapitch"
)

// latencyBuckets are the upper bounds, in seconds, of the histogram of the times to
// the whole answer. They include the required first-token latency (1.4 s) and
// deadline (9 s).
var latencyBuckets = tally.ValueBuckets{0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.4, 2, 3, 5, 7, 9, 15, 30}

// costScale converts costs to millionths, since counters hold integers.
const costScale = 1_000_000

// metrics creates the counters of a recorder. All of them have the label
// zone, the zone of this host.
type metrics struct {
	scope  tally.Scope
	hedged tally.Counter
}

func newMetrics(scope tally.Scope, zone cicadapitch.ZoneID) *metrics {
	tagged := scope.Tagged(map[string]string{"zone": string(zone)})
	return &metrics{scope: tagged, hedged: tagged.Counter("hedged_total")}
}

func (m *metrics) countRetry(kind cicadapitch.Kind) {
	m.scope.Tagged(map[string]string{"kind": kind.String()}).Counter("retried_total").Inc(1)
}

func (m *metrics) countDrop(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("dropped_total").Inc(1)
}

// requestMetrics are the metrics of one customer and pipeline. Callers must hold
// the lock of the recorder's shard.
type requestMetrics struct {
	scope tally.Scope
	// met and late count the answers within and after their deadline.
	met      tally.Counter
	late     tally.Counter
	latency  tally.Histogram
	refusals map[cicadapitch.Kind]tally.Counter
}

// newRequestMetrics creates the metrics of one customer and pipeline.
func (m *metrics) newRequestMetrics(k requestKey) *requestMetrics {
	s := m.scope.Tagged(map[string]string{"customer": string(k.customer), "pipeline": string(k.pipeline)})
	return &requestMetrics{
		scope: s,
		met:   s.Tagged(map[string]string{"met": "true"}).Counter("answered_total"),
		late:  s.Tagged(map[string]string{"met": "false"}).Counter("answered_total"),
		latency: m.scope.Tagged(map[string]string{"pipeline": string(k.pipeline)}).
			Histogram("took_seconds", latencyBuckets),
		refusals: make(map[cicadapitch.Kind]tally.Counter),
	}
}

func (m *requestMetrics) recordAnswer(latency cicadapitch.Millis, inTime bool) {
	m.latency.RecordValue(latency.Duration().Seconds())
	if inTime {
		m.met.Inc(1)
		return
	}
	m.late.Inc(1)
}

func (m *requestMetrics) recordRefusal(kind cicadapitch.Kind) {
	n, ok := m.refusals[kind]
	if !ok {
		n = m.scope.Tagged(map[string]string{"kind": kind.String()}).Counter("refused_total")
		m.refusals[kind] = n
	}
	n.Inc(1)
}

// stageMetrics are the counters of one stage, for endpoints in one zone.
type stageMetrics struct {
	count    tally.Counter
	attempts tally.Counter
	queued   tally.Counter
	served   tally.Counter
	tokens   tally.Counter
	cost     tally.Counter
}

// newStageMetrics creates the counters of one stage and endpoint zone.
func (m *metrics) newStageMetrics(k stageKey) *stageMetrics {
	s := m.scope.Tagged(map[string]string{
		"pipeline": string(k.pipeline), "stage": string(k.stage), "endpoint_zone": string(k.zone),
	})
	return &stageMetrics{
		count:    s.Counter("stage_total"),
		attempts: s.Counter("stage_attempts_total"),
		queued:   s.Counter("stage_queued_milliseconds_total"),
		served:   s.Counter("stage_served_milliseconds_total"),
		tokens:   s.Counter("stage_tokens_total"),
		cost:     s.Counter("stage_cost_millionths_total"),
	}
}

func (m *stageMetrics) record(t cicadapitch.StageReport) {
	m.count.Inc(1)
	m.attempts.Inc(int64(t.Attempts))
	m.queued.Inc(int64(t.Queued))
	m.served.Inc(int64(t.Served))
	m.tokens.Inc(int64(t.Tokens))
	m.cost.Inc(int64(t.Cost * costScale))
}
