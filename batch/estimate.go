package batch

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

// throughput returns the estimated rate of all endpoints together, in pieces per
// millisecond, with calls of typicalCallSize pieces, and the time until the first
// of them is free. Removed endpoints and those at the longest backoff don't count.
func (p *Planner) throughput(now cicadapitch.Instant) (rate float64, untilFree cicadapitch.Millis) {
	size := p.typicalCallSize()
	untilFree = -1
	for _, s := range p.endpoints {
		if s.removed || s.backoff >= maxBackoff {
			continue
		}
		endpointRate := size / (float64(p.ExpectedDuration(int(size))) * s.currentSlowdown(now))
		if s.callRate != 0 {
			endpointRate = min(endpointRate, size*max(s.callRate, 0)/float64(cicadapitch.Second))
		}
		rate += endpointRate
		if free := s.timeUntilFree(now, p.spec.Slots); untilFree < 0 || free < untilFree {
			untilFree = free
		}
	}
	return rate, max(untilFree, 0)
}

// typicalCallSize estimates the number of pieces per call under continuous load.
// The result memory limits it: the results of a call still take up memory while
// the next call runs, so a call can use only the share memoryShareOfCall.
func (p *Planner) typicalCallSize() float64 {
	size := float64(p.spec.MaxPieces)
	if p.meanResultBytes <= 0 {
		return size
	}
	return max(min(size, memoryShareOfCall*float64(p.spec.ResultCapacity)/p.meanResultBytes), 1)
}

// EstimateWait estimates how long a piece of the given priority that arrives now
// waits for the start of its call, given the pieces before it in the queue and
// the more urgent ones that will arrive meanwhile.
func (p *Planner) EstimateWait(now cicadapitch.Instant, priority int) cicadapitch.Millis {
	level, queuedAhead := priorityLevel(priority), 0
	if p.contended(now) {
		queuedAhead = p.queuedUpTo(now, place{section: sectionRegular, level: level, share: 1, due: math.MaxInt64})
	} else {
		for _, job := range p.jobs {
			if job.Priority <= priority && !p.isLate(now, job) {
				queuedAhead += len(job.queued)
			}
		}
	}
	return p.queueWait(now, queuedAhead, p.demand.moreUrgentRate(now, level))
}

// EstimateLateWait estimates the wait of a piece that arrives now and can no
// longer meet its objective.
func (p *Planner) EstimateLateWait(now cicadapitch.Instant) cicadapitch.Millis {
	return p.lateJobWait(now, false)
}

// lateJobWait estimates the wait of a job that can no longer meet its
// objective. retried tells whether its request was refused before; such jobs are
// served before all other late ones.
func (p *Planner) lateJobWait(now cicadapitch.Instant, retried bool) cicadapitch.Millis {
	queuedAhead := 0
	for _, job := range p.jobs {
		if !retried || job.Retried || !p.isLate(now, job) {
			queuedAhead += len(job.queued)
		}
	}
	return p.queueWait(now, queuedAhead, p.demand.totalRate(now))
}

// resumedJobWait estimates the wait of a job of a stream that is taken up again, which only
// others of its kind precede.
func (p *Planner) resumedJobWait(now cicadapitch.Instant) cicadapitch.Millis {
	queuedAhead := 0
	for _, job := range p.jobs {
		if job.Resumed {
			queuedAhead += len(job.queued)
		}
	}
	return p.queueWait(now, queuedAhead, 0)
}

// drainTime estimates the time until the queue is empty, on the assumption that
// half of the pieces that arrive meanwhile are served too.
func (p *Planner) drainTime(now cicadapitch.Instant) cicadapitch.Millis {
	return p.queueWait(now, p.queuedPieces(), p.demand.totalRate(now)/2)
}

// queuedPieces returns the number of pieces in the queue.
func (p *Planner) queuedPieces() int {
	n := 0
	for _, job := range p.jobs {
		n += len(job.queued)
	}
	return n
}

// queueWait estimates the wait of a piece with queuedAhead pieces before it, while
// more urgent pieces arrive at overtakingRate, in pieces per millisecond. It
// returns maxBackoff if no endpoint is usable.
func (p *Planner) queueWait(now cicadapitch.Instant, queuedAhead int, overtakingRate float64) cicadapitch.Millis {
	rate, untilFree := p.throughput(now)
	if rate == 0 {
		return maxBackoff
	}
	if queuedAhead < p.spec.MaxPieces/2 {
		// The next call has room for the piece.
		return untilFree
	}
	return untilFree + cicadapitch.Millis(float64(queuedAhead)/max(rate-overtakingRate, minSpareShare*rate))
}

// isLate reports whether a job can no longer meet its objective and so is served after others. One
// of a stream that is taken up again never is. A job whose
// request was refused before always is: the time of its objective
// began when the request first arrived.
func (p *Planner) isLate(now cicadapitch.Instant, job *jobState) bool {
	return !job.Resumed && p.missesObjective(now, job)
}

// missesObjective reports whether a job can no longer meet its objective.
func (p *Planner) missesObjective(now cicadapitch.Instant, job *jobState) bool {
	return job.Retried || now.Add(p.ExpectedDuration(len(job.queued))) > job.DueAt
}
