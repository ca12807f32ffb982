package batch

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// freeEndpoints returns the endpoints that can start a call now: first those of
// normal speed, then the slow ones, each group with the least recently used
// endpoint first. slowdownAt stands for the last use, since it is updated when a call
// starts and when it ends with results.
func (p *Planner) freeEndpoints(now cicadapitch.Instant) []*endpointState {
	var list []*endpointState
	for _, s := range p.endpoints {
		if s.canStart(now, p.spec.Slots) {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(a, b *endpointState) int {
		return cmp.Or(cmp.Compare(a.speedClass(now), b.speedClass(now)), cmp.Compare(a.slowdownAt, b.slowdownAt), cmp.Compare(a.ID, b.ID))
	})
	return p.withinVersionLimit(list)
}

// speedClass returns 0 for endpoints of normal speed and 1 for slow ones.
func (s *endpointState) speedClass(now cicadapitch.Instant) int {
	if s.currentSlowdown(now) < slowThreshold {
		return 0
	}
	return 1
}

// fillCall takes pieces from the queue for one call at an endpoint. It takes none
// if the endpoint should rather wait for result memory. lacksMemory reports whether
// a lack of result memory kept pieces out of the call. A call for streams that are taken up
// again carries nothing else, which would make it take longer, and its share of them where
// several endpoints are idle.
func (p *Planner) fillCall(now cicadapitch.Instant, s *endpointState, jobs []*jobState, idle int) (refs []PieceRef, lacksMemory bool) {
	free := p.freeMemory(s)
	slowdown := s.currentSlowdown(now)
	share := min(p.spec.MaxPieces, (resumedPieces(jobs)+idle-1)/idle)
	fasterRate, leastPace := p.fasterRate(now, s)
	ahead := 0
	for _, job := range jobs {
		ahead += len(job.queued)
		if len(refs) == p.spec.MaxPieces || len(refs) > 0 && refs[0].Job.Resumed && (!job.Resumed || len(refs) >= share) {
			break
		}
		end := now.Add(cicadapitch.Millis(float64(p.ExpectedDuration(len(refs)+len(job.queued))) * slowdown))
		if !job.Resumed && p.endsEarlierElsewhere(now, end, job, ahead, fasterRate, leastPace) {
			continue
		}
		// A slow endpoint gets no job that would become late there.
		if fasterRate == 0 && slowdown >= slowThreshold && end > job.DueAt && !p.missesObjective(now, job) {
			continue
		}
		// A large transfer waits for an endpoint in its own zone.
		if !job.Resumed && job.MoveBytes >= largeTransfer && job.Zone != s.Zone && p.localEndpointFreeInTime(now, job) {
			continue
		}
		// An empty endpoint takes at least one piece, however large its result.
		for len(job.queued) > 0 && len(refs) < p.spec.MaxPieces && (free >= job.ResultBytes || s.resultMemoryUsed <= 0 && len(refs) == 0) {
			refs = append(refs, PieceRef{&job.Job, job.queued[0]})
			job.queued = job.queued[1:]
			free -= job.ResultBytes
		}
		lacksMemory = lacksMemory || len(job.queued) > 0 && len(refs) < p.spec.MaxPieces
	}
	if lacksMemory && p.waitForMemory(now, s, len(refs)) {
		p.requeueUnsent(refs)
		return nil, true
	}
	return refs, lacksMemory
}

// resumedPieces returns the number of queued pieces of streams that are taken up again.
func resumedPieces(jobs []*jobState) int {
	return lo.SumBy(jobs, func(job *jobState) int {
		if !job.Resumed {
			return 0
		}
		return len(job.queued)
	})
}

// waitForMemory starts, continues or ends the wait for result memory of an endpoint
// whose next call would have the given number of pieces, and reports whether the
// wait goes on. After maxMemoryWait only an empty call keeps the endpoint waiting.
func (p *Planner) waitForMemory(now cicadapitch.Instant, s *endpointState, pieces int) bool {
	if float64(pieces) >= minFillShare*float64(p.spec.MaxPieces) || s.resultMemoryUsed <= 0 {
		s.memoryWaitSince = 0
		return false
	}
	if s.memoryWaitSince == 0 {
		s.memoryWaitSince = now
	}
	if now.Sub(s.memoryWaitSince) < maxMemoryWait {
		return true
	}
	s.memoryWaitSince = 0
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

// localEndpointFreeInTime reports whether an endpoint in the job's zone will be
// free early enough for the job to meet its objective.
func (p *Planner) localEndpointFreeInTime(now cicadapitch.Instant, job *jobState) bool {
	latest := job.DueAt - cicadapitch.Instant(zoneWaitSlack)
	for _, s := range p.endpoints {
		if s.removed || s.Zone != job.Zone || s.currentSlowdown(now) >= slowThreshold {
			continue
		}
		if now.Add(s.timeUntilFree(now, p.spec.Slots)+p.ExpectedDuration(p.spec.MaxPieces)) <= latest {
			return true
		}
	}
	return false
}

// startCall records the start of a call with the given pieces.
func (p *Planner) startCall(now cicadapitch.Instant, s *endpointState, refs []PieceRef) Call {
	p.lastCallID++
	p.lastCallStart = now
	c := Call{ID: p.lastCallID, Endpoint: s.Endpoint, Pieces: refs, ExpectedDuration: cicadapitch.Millis(float64(p.ExpectedDuration(len(refs))) * s.expectedPace(now)), Queued: p.queuedPieces(), RoomUsed: s.resultMemoryUsed}
	for _, ref := range refs {
		s.resultMemoryUsed += ref.Job.ResultBytes
		p.shares.Charge(now, ref.Job.Customer, float64(c.ExpectedDuration)/float64(len(refs)))
	}
	s.lastStart = now
	s.slowdown, s.slowdownAt = s.measuredSlowdown(now), now
	s.calls[c.ID] = &inFlightCall{Call: c, started: now, slowdown: s.slowdown}
	p.calls[c.ID] = s
	return c
}
