package batch

import "cicadapitch.example/cicadapitch"

// throughput returns how many pieces a millisecond the endpoints process with
// calls of the typical size, and the time until the first endpoint is free.
// Removed endpoints and those at the longest backoff don't count.
func (p *Planner) throughput(now cicadapitch.Instant) (float64, cicadapitch.Millis) {
	size := p.typicalCallSize()
	rate, first := 0.0, cicadapitch.Millis(-1)
	for _, w := range p.workers {
		if w.removed || w.backoff >= maxBackoff {
			continue
		}
		rate += size / (float64(p.ExpectedDuration(int(size))) * w.currentSlowdown(now))
		if free := w.timeUntilFree(now, p.spec.Slots); first < 0 || free < first {
			first = free
		}
	}
	return rate, max(first, 0)
}

// typicalCallSize returns how many pieces a call carries when calls follow each
// other without a gap. Results stay for about as long as the next call runs, so
// each call can use only a part of the room.
func (p *Planner) typicalCallSize() float64 {
	size := float64(p.spec.MaxPieces)
	if p.meanResultBytes <= 0 {
		return size
	}
	return max(min(size, roomPerCall*float64(p.spec.ResultCapacity)/p.meanResultBytes), 1)
}

// EstimateWait estimates how long a piece of the given priority that arrives now
// waits for the start of its call, given the pieces before it in the queue and
// the more urgent ones that will arrive meanwhile.
func (p *Planner) EstimateWait(now cicadapitch.Instant, priority int) cicadapitch.Millis {
	ahead := 0
	for _, job := range p.jobs {
		if job.Priority <= priority && !p.isLate(now, job) {
			ahead += len(job.queued)
		}
	}
	return p.queueWait(now, ahead, p.demand.above(now, priority))
}

// EstimateLateWait estimates the wait of a piece that arrives now and can no
// longer meet its objective.
func (p *Planner) EstimateLateWait(now cicadapitch.Instant) cicadapitch.Millis {
	return p.lateJobWait(now, false)
}

// lateJobWait estimates the wait of a job that can no longer meet its
// objective. Late jobs whose request was refused before go before other late
// ones.
func (p *Planner) lateJobWait(now cicadapitch.Instant, retried bool) cicadapitch.Millis {
	ahead := 0
	for _, job := range p.jobs {
		if !retried || job.Retried || !p.isLate(now, job) {
			ahead += len(job.queued)
		}
	}
	return p.queueWait(now, ahead, p.demand.total(now))
}

// drainTime estimates the time until the queue is empty.
func (p *Planner) drainTime(now cicadapitch.Instant) cicadapitch.Millis {
	return p.queueWait(now, p.queuedPieces(), p.demand.total(now)/2)
}

// queuedPieces returns the number of pieces in the queue.
func (p *Planner) queuedPieces() int {
	n := 0
	for _, job := range p.jobs {
		n += len(job.queued)
	}
	return n
}

// queueWait estimates the wait behind ahead pieces while more urgent ones arrive
// at the rate overtaking, in pieces per millisecond.
func (p *Planner) queueWait(now cicadapitch.Instant, ahead int, overtaking float64) cicadapitch.Millis {
	rate, first := p.throughput(now)
	if rate == 0 {
		return maxBackoff
	}
	if ahead < p.spec.MaxPieces/2 {
		return first
	}
	return first + cicadapitch.Millis(float64(ahead)/max(rate-overtaking, minSpareCapacity*rate))
}

// isLate reports whether a job can no longer meet its objective. A job whose
// request was refused before always counts as late, since its objective is
// counted from the first attempt.
func (p *Planner) isLate(now cicadapitch.Instant, job *jobState) bool {
	return job.Retried || now.Add(p.ExpectedDuration(len(job.queued))) > job.DueAt
}
