package entry

import (
	"strconv"

	"cicadapitch.example/cicadapitch"
	"github.com/uber-go/tally/v4"
)

// TallyMetrics sends measurements to a tally scope.
type TallyMetrics struct{ scope tally.Scope }

// NewTallyMetrics returns metrics below a scope.
func NewTallyMetrics(scope tally.Scope) *TallyMetrics {
	return &TallyMetrics{scope: scope.SubScope("entry")}
}

// costUnit keeps fractions of the accounting unit in a counter.
const costUnit = 1000

var answerBuckets = tally.MustMakeExponentialValueBuckets(1, 2, 16)

// Answered implements Metrics.
func (t *TallyMetrics) Answered(customer cicadapitch.CustomerID, p cicadapitch.PipelineID, took cicadapitch.Millis, inTime bool) {
	s := t.scope.Tagged(map[string]string{"customer": string(customer), "pipeline": string(p)})
	s.Tagged(map[string]string{"in_time": strconv.FormatBool(inTime)}).Counter("answers").Inc(1)
	s.Histogram("answer_millis", answerBuckets).RecordValue(float64(took))
}

// Refused implements Metrics.
func (t *TallyMetrics) Refused(customer cicadapitch.CustomerID, p cicadapitch.PipelineID, kind cicadapitch.Kind) {
	t.scope.Tagged(map[string]string{
		"customer": string(customer),
		"pipeline": string(p),
		"kind":     kind.String(),
	}).Counter("refusals").Inc(1)
}

// Stage implements Metrics.
func (t *TallyMetrics) Stage(customer cicadapitch.CustomerID, p cicadapitch.PipelineID, r cicadapitch.StageReport) {
	s := t.scope.Tagged(map[string]string{
		"customer": string(customer),
		"pipeline": string(p),
		"stage":    string(r.Stage),
		"zone":     string(r.Zone),
	})
	s.Counter("stages").Inc(1)
	s.Counter("stage_attempts").Inc(int64(r.Attempts))
	s.Counter("stage_cost_thousandths").Inc(int64(float64(r.Cost) * costUnit))
	s.Counter("stage_served_millis").Inc(int64(r.Served))
	s.Counter("stage_queued_millis").Inc(int64(r.Queued))
	s.Counter("stage_tokens").Inc(int64(r.Tokens))
}

// Retried implements Metrics.
func (t *TallyMetrics) Retried(stage cicadapitch.StageID, kind cicadapitch.Kind) {
	t.scope.Tagged(map[string]string{"stage": string(stage), "kind": kind.String()}).Counter("retries").Inc(1)
}

// Hedged implements Metrics.
func (t *TallyMetrics) Hedged(stage cicadapitch.StageID) {
	t.scope.Tagged(map[string]string{"stage": string(stage)}).Counter("hedges").Inc(1)
}

// Dropped implements Metrics.
func (t *TallyMetrics) Dropped(reason Dropped) {
	t.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("drops").Inc(1)
}
