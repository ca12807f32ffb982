package batch

import "cicadapitch.example/cicadapitch"

// holdSlack is the minimum time that a job must have left before its due time if
// its call is held for more pieces. It is about the wait for a call in the next
// stage.
const holdSlack cicadapitch.Millis = 250

// staggerDelay returns how long to delay the next call, so that the starts of
// calls spread evenly over time.
//
// Endpoints that become free at the same time would otherwise start and end their
// calls at the same time from then on: the first takes the whole queue, the others
// start calls of few pieces that cost nearly as much, and pieces that arrive later
// find all endpoints busy. Spreading the starts on the idle endpoints over the time
// until a busy endpoint becomes free keeps the calls about equally full and the
// waits short.
func (p *Planner) staggerDelay(now cicadapitch.Instant) cicadapitch.Millis {
	idle, next := 0, cicadapitch.Millis(-1)
	for _, s := range p.endpoints {
		if s.canStart(now, p.spec.Slots) {
			idle++
			continue
		}
		if len(s.calls) == 0 {
			continue
		}
		if free := s.timeUntilFree(now, p.spec.Slots); next < 0 || free < next {
			next = free
		}
	}
	if next < 0 {
		return 0
	}
	// The delay x is such that the gap to the last start equals the time that then
	// remains until a busy endpoint is free, divided by the number of idle
	// endpoints: elapsed+x = (next-x)/idle.
	elapsed := now.Sub(p.lastCallStart)
	return max((next-elapsed*cicadapitch.Millis(idle))/cicadapitch.Millis(idle+1), 0)
}

// gatherTime is how long a call for streams that are taken up again is held while several endpoints are
// idle, so that those that arrive together share them.
const gatherTime cicadapitch.Millis = 15

// holdTime returns how long to hold a call for more pieces. A call is not held if
// it is full, if it carries only some of a job's pieces, or if a job that is on time
// would then have less than holdSlack left. A call for streams that are taken up again is held for
// gatherTime at most. idle is the number of endpoints that can start it.
func (p *Planner) holdTime(now cicadapitch.Instant, refs []PieceRef, idle int) cicadapitch.Millis {
	if len(refs) >= p.spec.MaxPieces {
		return 0
	}
	if refs[0].Job.Resumed {
		return p.gatherDelay(now, refs, idle)
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

// gatherDelay returns how long to hold a call for streams that are taken up again.
func (p *Planner) gatherDelay(now cicadapitch.Instant, refs []PieceRef, idle int) cicadapitch.Millis {
	if idle < 2 {
		return 0
	}
	first := now
	for _, ref := range refs {
		first = min(first, p.jobs[ref.Job.ID].submittedAt)
	}
	return max(first.Add(gatherTime).Sub(now), 0)
}
