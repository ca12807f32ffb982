package batch

import "cicadapitch.example/cicadapitch"

// holdSlack is the time to spare that a job keeps when its call is held for more
// pieces, about the wait for a call in its next stage.
const holdSlack cicadapitch.Millis = 250

// staggerDelay returns how long to delay the next call, so that the starts of
// calls spread evenly over time.
//
// Endpoints that become free together would otherwise stay together: the first
// takes the whole queue, the others start calls of few pieces that cost nearly as
// much, and pieces that arrive then find all endpoints busy. Spreading the starts
// on the idle endpoints over the time until a busy endpoint becomes free keeps
// the calls about equally full and the waits short.
func (p *Planner) staggerDelay(now cicadapitch.Instant) cicadapitch.Millis {
	idle, next := 0, cicadapitch.Millis(-1)
	for _, w := range p.workers {
		if w.canStart(now, p.spec.Slots) {
			idle++
			continue
		}
		if len(w.calls) == 0 {
			continue
		}
		if free := w.timeUntilFree(now, p.spec.Slots); next < 0 || free < next {
			next = free
		}
	}
	if next < 0 {
		return 0
	}
	// After the delay x, the gap since the last start is the time that then
	// remains, divided by the number of idle endpoints: (elapsed+x)*idle =
	// next-x.
	elapsed := now.Sub(p.lastCallStart)
	return max((next-elapsed*cicadapitch.Millis(idle))/cicadapitch.Millis(idle+1), 0)
}

// holdTime returns how long to hold a call for more pieces. A call is not held if
// it is full, if it carries only some of a job's pieces, or if holding it would
// leave a job that is in time less than holdSlack to spare.
func (p *Planner) holdTime(now cicadapitch.Instant, refs []PieceRef) cicadapitch.Millis {
	if len(refs) >= p.spec.MaxPieces {
		return 0
	}
	wait := p.staggerDelay(now)
	if wait <= 0 {
		return 0
	}
	end := now.Add(p.ExpectedDuration(len(refs)))
	pieces := map[JobID]int{}
	for _, ref := range refs {
		pieces[ref.Job.ID]++
		if end <= ref.Job.DueAt && end.Add(wait+holdSlack) > ref.Job.DueAt {
			return 0
		}
	}
	for _, ref := range refs {
		if pieces[ref.Job.ID] < ref.Job.Pieces {
			return 0
		}
	}
	return wait
}
