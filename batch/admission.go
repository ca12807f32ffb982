package batch

import "cicadapitch.example/cicadapitch"

// admit decides whether a job that arrives now is queued, and counts it. A job that is expected to end
// after its due time is queued as a late one if it can end before it expires.
func (p *Planner) admit(now cicadapitch.Instant, job *jobState) bool {
	p.reserve.ask(now, job)
	ok := p.admitInOrder(now, job)
	if ok {
		p.reserve.admit(job)
	}
	return ok
}

// admitInOrder is admit without the count.
func (p *Planner) admitInOrder(now cicadapitch.Instant, job *jobState) bool {
	work := p.ExpectedDuration(job.Pieces)
	if p.contended(now) {
		return p.admitUnderContention(now, job, work)
	}
	switch {
	case job.Resumed && now.Add(p.resumedJobWait(now)+work) <= job.ExpiresAt:
	// The job can meet its objective.
	case !job.Retried && now.Add(p.EstimateWait(now, job.Priority)+work) <= job.DueAt:
	default:
		return now.Add(p.lateJobWait(now, job.Retried)+work) <= job.ExpiresAt
	}
	p.demand.add(now, job.Priority, job.Pieces)
	return true
}

// admitUnderContention is admit while jobs compete. A job that would be refused is admitted on the
// reserve if that owes it.
func (p *Planner) admitUnderContention(now cicadapitch.Instant, job *jobState, work cicadapitch.Millis) bool {
	end := now.Add(p.waitOf(now, job) + work)
	switch {
	case end <= min(job.lastUsefulEnd(), job.ExpiresAt):
		p.demand.add(now, job.Priority, job.Pieces)
		return true
	// The job will be one of those that are served last.
	case now.Add(p.lateJobWait(now, false)+work) <= job.ExpiresAt:
		return true
	}
	_, untilFree := p.throughput(now)
	job.reserved = now.Add(untilFree+work) <= job.ExpiresAt && p.reserve.owes(job)
	return job.reserved
}

// waitOf estimates the wait of a job that is not queued yet, given its place.
func (p *Planner) waitOf(now cicadapitch.Instant, job *jobState) cicadapitch.Millis {
	return p.queueWait(now, p.queuedUpTo(now, p.placeOf(now, job)), p.overtakingRate(now, job))
}

// queuedUpTo returns the number of queued pieces up to a place.
func (p *Planner) queuedUpTo(now cicadapitch.Instant, last place) int {
	n := 0
	for _, job := range p.jobs {
		if len(job.queued) > 0 && p.placeOf(now, job).compare(last) <= 0 {
			n += len(job.queued)
		}
	}
	return n
}

// overtakingRate returns the arrival rate, in pieces per millisecond, of the jobs that will be
// served before a job.
func (p *Planner) overtakingRate(now cicadapitch.Instant, job *jobState) float64 {
	late := p.isLate(now, job)
	switch {
	case job.Resumed || job.reserved:
		return 0
	case p.contended(now) && p.graceIsOver(now, job), !p.contended(now) && late:
		return p.demand.totalRate(now)
	case late:
		return p.demand.moreUrgentRate(now, priorityLevel(job.Priority)+1)
	}
	return p.demand.moreUrgentRate(now, priorityLevel(job.Priority))
}

// roomAfter estimates the time after which a job that is refused now finds room. Under contention that is when
// the jobs of its place and before are worked off far enough.
func (p *Planner) roomAfter(now cicadapitch.Instant, job *jobState) cicadapitch.Millis {
	if !p.contended(now) {
		return p.drainTime(now)
	}
	end := now.Add(p.waitOf(now, job) + p.ExpectedDuration(job.Pieces))
	return min(max(end.Sub(min(job.lastUsefulEnd(), job.ExpiresAt)), p.drainTime(now)), maxRoomAfter)
}

// maxRoomAfter bounds the time after which refused jobs are told to come again. Bursts are shorter than longer
// estimates.
const maxRoomAfter = 3 * cicadapitch.Second
