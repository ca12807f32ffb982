package batch

import (
	"cmp"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// order lists the waiting jobs: those that can still meet their objective
// first, by priority and due time, then those of callers who came back, then the
// other late ones.
func (p *Planner) order(now cicadapitch.Instant) []*entry {
	var list []*entry
	for _, e := range p.jobs {
		if len(e.waiting) > 0 {
			list = append(list, e)
		}
	}
	lateness := func(e *entry) int {
		switch {
		case e.Returned:
			return 1
		case p.late(now, e):
			return 2
		}
		return 0
	}
	rank := func(e *entry) cicadapitch.Instant {
		return e.Due.Add(cicadapitch.Millis(level(e.Priority)) * priorityStep)
	}
	slices.SortFunc(list, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(lateness(a), lateness(b)), cmp.Compare(rank(a), rank(b)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// freeWorkers lists the endpoints that can start a call, the fastest first.
func (p *Planner) freeWorkers(now cicadapitch.Instant) []*worker {
	var list []*worker
	for _, w := range p.workers {
		if w.free(now, p.spec.Slots) {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.class(now), b.class(now)), cmp.Compare(a.seen, b.seen), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// class groups endpoints of about the same speed.
func (w *worker) class(now cicadapitch.Instant) int {
	if w.slowness(now) < slowFrom {
		return 0
	}
	return 1
}

// fill chooses pieces for one call. It reports whether the call lacks room for
// more of them.
func (p *Planner) fill(now cicadapitch.Instant, w *worker, order []*entry) (refs []PieceRef, short bool) {
	room := cicadapitch.Bytes(roomUse*float64(p.spec.ResultCapacity)) - w.used
	slow := w.slowness(now)
	for _, e := range order {
		if len(refs) == p.spec.Size {
			break
		}
		end := now.Add(cicadapitch.Millis(float64(p.Expected(len(refs)+len(e.waiting))) * slow))
		if slow >= slowFrom && end > e.Due && !p.late(now, e) {
			continue
		}
		if e.MoveBytes >= heavyMove && e.Zone != w.Zone && p.nearSoon(now, e) {
			continue
		}
		for len(e.waiting) > 0 && len(refs) < p.spec.Size && (room >= e.ResultBytes || w.used <= 0 && len(refs) == 0) {
			refs = append(refs, PieceRef{&e.Job, e.waiting[0]})
			e.waiting = e.waiting[1:]
			room -= e.ResultBytes
		}
		short = short || len(e.waiting) > 0 && len(refs) < p.spec.Size
	}
	if short && p.waitForRoom(now, w, len(refs)) {
		p.putBack(refs)
		return nil, true
	}
	return refs, short
}

// waitForRoom reports whether an endpoint that lacks room should wait a moment
// rather than spend a call on few pieces.
func (p *Planner) waitForRoom(now cicadapitch.Instant, w *worker, pieces int) bool {
	if float64(pieces) >= fairCall*float64(p.spec.Size) || w.used <= 0 {
		w.shortSince = 0
		return false
	}
	if w.shortSince == 0 {
		w.shortSince = now
	}
	if now.Sub(w.shortSince) < roomWait {
		return true
	}
	w.shortSince = 0
	return pieces == 0
}

func (p *Planner) putBack(refs []PieceRef) {
	for _, ref := range refs {
		if e := p.jobs[ref.Job.ID]; e != nil {
			e.waiting = append(e.waiting, ref.Index)
		}
	}
}

// nearSoon reports whether an endpoint in the job's zone will be free in time.
func (p *Planner) nearSoon(now cicadapitch.Instant, e *entry) bool {
	latest := e.Due - cicadapitch.Instant(zoneSlack)
	for _, w := range p.workers {
		if w.gone || w.Zone != e.Zone || w.slowness(now) >= slowFrom {
			continue
		}
		if now.Add(w.freeIn(now, p.spec.Slots)+p.Expected(p.spec.Size)) <= latest {
			return true
		}
	}
	return false
}

func (p *Planner) start(now cicadapitch.Instant, w *worker, refs []PieceRef) Call {
	p.next++
	p.lastStart = now
	c := Call{ID: p.next, Endpoint: w.Endpoint, Pieces: refs, Expected: p.Expected(len(refs)), Queued: p.queued(), RoomUsed: w.used}
	for _, ref := range refs {
		w.used += ref.Job.ResultBytes
	}
	w.calls[c.ID] = &flight{Call: c, started: now}
	w.slow, w.seen = w.slowness(now), now
	p.calls[c.ID] = w
	return c
}
