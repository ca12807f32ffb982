package batch

import "cicadapitch.example/cicadapitch"

//go:generate go tool -modfile=../tools/go.mod enumer -type=WasteCause -trimprefix=Waste

// WasteCause says why the work for a piece is of no use.
type WasteCause int

// The causes of unused work.
const (
	// WasteHedged means that another call made the same result earlier.
	WasteHedged WasteCause = iota
	// WasteCanceled means that the request ended while the stage ran, such as one whose caller left.
	WasteCanceled
	// WasteExpired means that the request's time no longer sufficed.
	WasteExpired
	// WasteInputLost means that an input of the job was gone.
	WasteInputLost
	// WasteReclaimed means that the result was freed for a stream that is taken up again.
	WasteReclaimed
	// WasteFailed means that the call or the piece failed.
	WasteFailed
	// WasteNoMemory means that the endpoint had no memory for the result.
	WasteNoMemory
)

// Waste is work whose results are not used, in milliseconds of endpoints by cause. The time of a call is
// divided evenly among its pieces.
type Waste map[WasteCause]float64

// TakeWaste returns the unused work since the last call of TakeWaste, or nil if there was none.
func (p *Planner) TakeWaste() Waste {
	w := p.waste
	p.waste = nil
	return w
}

// countWaste adds the work for one piece.
func (p *Planner) countWaste(cause WasteCause, work float64) {
	if work <= 0 {
		return
	}
	if p.waste == nil {
		p.waste = Waste{}
	}
	p.waste[cause] += work
}

// endedJob says why a job has ended whose calls may still run.
type endedJob struct {
	cause WasteCause
	at    cicadapitch.Instant
}

// endedJobTTL is how long a job that has ended is remembered, about as long as its slowest call.
const endedJobTTL = 10 * cicadapitch.Second

// recordEnd records that a job has ended without all results, and counts the work for those that it has.
func (p *Planner) recordEnd(job *jobState, cause WasteCause) {
	for _, h := range job.handles {
		if h != "" {
			p.countWaste(cause, p.results[h].work)
		}
	}
	if job.remaining > len(job.queued) {
		p.endedJobs[job.ID] = endedJob{cause, p.plannedAt}
	}
}

// forgetEndedJobs forgets the jobs that ended long ago.
func (p *Planner) forgetEndedJobs(now cicadapitch.Instant) {
	for id, e := range p.endedJobs {
		if now.Sub(e.at) > endedJobTTL {
			delete(p.endedJobs, id)
		}
	}
}

// unusedBy returns why the result of a piece that was made is not used, given that its job has ended or has
// the result already.
func (p *Planner) unusedBy(ref PieceRef) WasteCause {
	if e, ok := p.endedJobs[ref.Job.ID]; ok {
		return e.cause
	}
	return WasteHedged
}
