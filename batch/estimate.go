package batch

import "cicadapitch.example/cicadapitch"

// capacity returns the pieces a millisecond that full calls get through, and
// when the first endpoint is free.
func (p *Planner) capacity(now cicadapitch.Instant) (float64, cicadapitch.Millis) {
	size := p.usualSize()
	rate, first := 0.0, cicadapitch.Millis(-1)
	for _, w := range p.workers {
		if w.gone || w.pause >= maxPause {
			continue
		}
		rate += size / (float64(p.Expected(int(size))) * w.slowness(now))
		if free := w.freeIn(now, p.spec.Slots); first < 0 || free < first {
			first = free
		}
	}
	return rate, max(first, 0)
}

// usualSize returns the pieces of a call that room allows when one call follows
// the other: results stay for about a call's time after their own call.
func (p *Planner) usualSize() float64 {
	size := float64(p.spec.Size)
	if p.pieceBytes <= 0 {
		return size
	}
	return max(min(size, turnover*float64(p.spec.ResultCapacity)/p.pieceBytes), 1)
}

// Wait estimates how long a piece of the given priority that arrives now waits
// for the start of its call, given what is before it in the queue and what will
// overtake it.
func (p *Planner) Wait(now cicadapitch.Instant, priority int) cicadapitch.Millis {
	ahead := 0
	for _, e := range p.jobs {
		if e.Priority <= priority && !p.late(now, e) {
			ahead += len(e.waiting)
		}
	}
	return p.waitBehind(now, ahead, p.demand.above(now, priority))
}

// LateWait estimates the wait of a piece that arrives now and is late already.
func (p *Planner) LateWait(now cicadapitch.Instant) cicadapitch.Millis { return p.lateWait(now, false) }

// lateWait estimates the wait of a job that is late already. Those that came back
// go before the others.
func (p *Planner) lateWait(now cicadapitch.Instant, returned bool) cicadapitch.Millis {
	ahead := 0
	for _, e := range p.jobs {
		if !returned || e.Returned || !p.late(now, e) {
			ahead += len(e.waiting)
		}
	}
	return p.waitBehind(now, ahead, p.demand.all(now))
}

// drain estimates when the queue will have drained.
func (p *Planner) drain(now cicadapitch.Instant) cicadapitch.Millis {
	return p.waitBehind(now, p.queued(), p.demand.all(now)/2)
}

func (p *Planner) queued() int {
	n := 0
	for _, e := range p.jobs {
		n += len(e.waiting)
	}
	return n
}

func (p *Planner) waitBehind(now cicadapitch.Instant, ahead int, overtaking float64) cicadapitch.Millis {
	rate, first := p.capacity(now)
	if rate == 0 {
		return maxPause
	}
	if ahead < p.spec.Size/2 {
		return first
	}
	return first + cicadapitch.Millis(float64(ahead)/max(rate-overtaking, leastSpare*rate))
}

// late reports whether a job cannot meet its objective any more. That of a
// caller who came back counts from before its refusal.
func (p *Planner) late(now cicadapitch.Instant, e *entry) bool {
	return e.Returned || now.Add(p.Expected(len(e.waiting))) > e.Due
}
