package entry

import "cicadapitch.example/cicadapitch"

// DropReason is the reason why a chunk or result was dropped.
type DropReason string

// The reasons for which chunks and results are dropped.
const (
	// DropLate is for chunks and results of an attempt that had already ended.
	DropLate DropReason = "late"
	// DropWrongAttempt is for chunks and results that carry the id of another attempt.
	DropWrongAttempt DropReason = "crossed"
	// DropDuplicate is for chunks whose index had already arrived.
	DropDuplicate DropReason = "doubled"
	// DropBufferFull is for chunks that arrived before earlier ones while the buffer
	// for such chunks was full.
	DropBufferFull DropReason = "ahead"
)

// Metrics receives measurements. Its methods must be safe for concurrent use
// and must not block.
type Metrics interface {
	// Answered reports a request that was answered, the milliseconds that it took
	// and whether it met its deadline.
	Answered(customer cicadapitch.CustomerID, p cicadapitch.PipelineID, took cicadapitch.Millis, inTime bool)
	// Refused reports a request that ended with any error, whether or not it had
	// started.
	Refused(customer cicadapitch.CustomerID, p cicadapitch.PipelineID, kind cicadapitch.Kind)
	// Stage reports one stage of an answered request.
	Stage(customer cicadapitch.CustomerID, p cicadapitch.PipelineID, r cicadapitch.StageReport)
	// Retried reports that a stage is retried, and the kind of the error of the
	// attempt before.
	Retried(stage cicadapitch.StageID, kind cicadapitch.Kind)
	// Hedged reports an attempt that was started while a slow one was still
	// running.
	Hedged(stage cicadapitch.StageID)
	// Dropped reports a chunk or result that was dropped.
	Dropped(reason DropReason)
}

// NoMetrics discards all measurements.
type NoMetrics struct{}

// Answered implements Metrics.
func (NoMetrics) Answered(cicadapitch.CustomerID, cicadapitch.PipelineID, cicadapitch.Millis, bool) {
}

// Refused implements Metrics.
func (NoMetrics) Refused(cicadapitch.CustomerID, cicadapitch.PipelineID, cicadapitch.Kind) {}

// Stage implements Metrics.
func (NoMetrics) Stage(cicadapitch.CustomerID, cicadapitch.PipelineID, cicadapitch.StageReport) {}

// Retried implements Metrics.
func (NoMetrics) Retried(cicadapitch.StageID, cicadapitch.Kind) {}

// Hedged implements Metrics.
func (NoMetrics) Hedged(cicadapitch.StageID) {}

// Dropped implements Metrics.
func (NoMetrics) Dropped(DropReason) {}
