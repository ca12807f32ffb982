package batch

import (
	"cmp"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// sortedJobs returns the jobs with queued pieces in the order in which they are
// served: first the jobs that can still meet their objective, by priority and due
// time, then those whose request was refused before, then the other late ones.
func (p *Planner) sortedJobs(now cicadapitch.Instant) []*jobState {
	var list []*jobState
	for _, job := range p.jobs {
		if len(job.queued) > 0 {
			list = append(list, job)
		}
	}
	lateClass := func(job *jobState) int {
		switch {
		case job.Retried:
			return 1
		case p.isLate(now, job):
			return 2
		}
		return 0
	}
	effectiveDue := func(job *jobState) cicadapitch.Instant {
		return job.DueAt.Add(cicadapitch.Millis(priorityLevel(job.Priority)) * priorityStep)
	}
	slices.SortFunc(list, func(a, b *jobState) int {
		return cmp.Or(cmp.Compare(lateClass(a), lateClass(b)), cmp.Compare(effectiveDue(a), effectiveDue(b)), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// freeWorkers returns the endpoints that can start a call now: those of normal
// speed first, and among them the longest unused.
func (p *Planner) freeWorkers(now cicadapitch.Instant) []*worker {
	var list []*worker
	for _, w := range p.workers {
		if w.canStart(now, p.spec.Slots) {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.speedClass(now), b.speedClass(now)), cmp.Compare(a.slowdownAt, b.slowdownAt), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// speedClass returns 0 for endpoints of normal speed and 1 for slow ones.
func (w *worker) speedClass(now cicadapitch.Instant) int {
	if w.currentSlowdown(now) < slowThreshold {
		return 0
	}
	return 1
}

// fillCall takes pieces from the queue for one call. It reports whether the call
// lacks the room for more pieces.
func (p *Planner) fillCall(now cicadapitch.Instant, w *worker, jobs []*jobState) (refs []PieceRef, lacksRoom bool) {
	room := cicadapitch.Bytes(roomLimit*float64(p.spec.ResultCapacity)) - w.roomUsed
	slowdown := w.currentSlowdown(now)
	for _, job := range jobs {
		if len(refs) == p.spec.MaxPieces {
			break
		}
		end := now.Add(cicadapitch.Millis(float64(p.ExpectedDuration(len(refs)+len(job.queued))) * slowdown))
		if slowdown >= slowThreshold && end > job.DueAt && !p.isLate(now, job) {
			continue
		}
		if job.MoveBytes >= largeTransfer && job.Zone != w.Zone && p.zoneFreeInTime(now, job) {
			continue
		}
		for len(job.queued) > 0 && len(refs) < p.spec.MaxPieces && (room >= job.ResultBytes || w.roomUsed <= 0 && len(refs) == 0) {
			refs = append(refs, PieceRef{&job.Job, job.queued[0]})
			job.queued = job.queued[1:]
			room -= job.ResultBytes
		}
		lacksRoom = lacksRoom || len(job.queued) > 0 && len(refs) < p.spec.MaxPieces
	}
	if lacksRoom && p.shouldWaitForRoom(now, w, len(refs)) {
		p.requeueUnsent(refs)
		return nil, true
	}
	return refs, lacksRoom
}

// shouldWaitForRoom reports whether an endpoint that lacks room should wait for
// results to be freed rather than start a call with few pieces.
func (p *Planner) shouldWaitForRoom(now cicadapitch.Instant, w *worker, pieces int) bool {
	if float64(pieces) >= minCallFill*float64(p.spec.MaxPieces) || w.roomUsed <= 0 {
		w.roomWaitSince = 0
		return false
	}
	if w.roomWaitSince == 0 {
		w.roomWaitSince = now
	}
	if now.Sub(w.roomWaitSince) < maxRoomWait {
		return true
	}
	w.roomWaitSince = 0
	return pieces == 0
}

// requeueUnsent puts pieces that were not sent back into the queue.
func (p *Planner) requeueUnsent(refs []PieceRef) {
	for _, ref := range refs {
		if job := p.jobs[ref.Job.ID]; job != nil {
			job.queued = append(job.queued, ref.Index)
		}
	}
}

// zoneFreeInTime reports whether an endpoint in the job's zone will be free early
// enough for the job to meet its objective.
func (p *Planner) zoneFreeInTime(now cicadapitch.Instant, job *jobState) bool {
	latest := job.DueAt - cicadapitch.Instant(zoneWaitSlack)
	for _, w := range p.workers {
		if w.removed || w.Zone != job.Zone || w.currentSlowdown(now) >= slowThreshold {
			continue
		}
		if now.Add(w.timeUntilFree(now, p.spec.Slots)+p.ExpectedDuration(p.spec.MaxPieces)) <= latest {
			return true
		}
	}
	return false
}

// startCall records the start of a call with the given pieces.
func (p *Planner) startCall(now cicadapitch.Instant, w *worker, refs []PieceRef) Call {
	p.lastCallID++
	p.lastCallStart = now
	c := Call{ID: p.lastCallID, Endpoint: w.Endpoint, Pieces: refs, ExpectedDuration: p.ExpectedDuration(len(refs)), Queued: p.queuedPieces(), RoomUsed: w.roomUsed}
	for _, ref := range refs {
		w.roomUsed += ref.Job.ResultBytes
	}
	w.calls[c.ID] = &inFlightCall{Call: c, started: now}
	w.slowdown, w.slowdownAt = w.currentSlowdown(now), now
	p.calls[c.ID] = w
	return c
}
