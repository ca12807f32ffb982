package batch

import (
	"cmp"
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

const (
	// graceShare is the share of the time between a job's due time and its expiry in which a late job keeps
	// a place by its priority level. A late answer is worth less the later it is; after this time a
	// job is served after all others.
	graceShare = 0.25
	// contentionHold is how long contention is assumed to last after it was last found, about one call, so
	// that orders and estimates do not change from call to call.
	contentionHold cicadapitch.Millis = 300
	// priorityStep is added to the due time for each priority when jobs are sorted without contention.
	priorityStep cicadapitch.Millis = 400
)

// place is where a job is in the order of a queue. Places are compared field by field.
type place struct {
	// section is 0 for streams that are taken up again, 1 for jobs on the reserve, 2 for all others
	// under contention and 3 for jobs whose grace is over. Without contention it is 2 for jobs on time
	// and 3 for late ones.
	section int
	// level is the priority level under contention, and 0 without.
	level int
	// share is 1 under contention for jobs of customers that have had more than an equal share.
	share int
	// lateness is 0 for jobs on time, 1 for those whose request was refused before, 2 for other
	// late ones.
	lateness int
	// due is the due time, with priorityStep for each priority where levels are mixed.
	due cicadapitch.Instant
}

func (a place) compare(b place) int {
	return cmp.Or(cmp.Compare(a.section, b.section), cmp.Compare(a.level, b.level), cmp.Compare(a.share, b.share), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.due, b.due))
}

// Sections of the order.
const (
	sectionResumed = iota
	sectionReserved
	sectionRegular
	sectionLast
)

// placeOf returns the place of a job in the queue.
func (p *Planner) placeOf(now cicadapitch.Instant, job *jobState) place {
	level := priorityLevel(job.Priority)
	mixedDue := job.DueAt.Add(cicadapitch.Millis(level/catalog.RanksPerPriority) * priorityStep)
	lateness := p.latenessOf(now, job)
	switch {
	case job.Resumed:
		return place{section: sectionResumed, due: mixedDue}
	case job.reserved:
		return place{section: sectionReserved, due: mixedDue}
	case !p.contended(now):
		return place{section: sectionRegular + min(lateness, 1), lateness: lateness, due: mixedDue}
	case p.graceIsOver(now, job):
		return place{section: sectionLast, share: p.shareOf(now, job), lateness: lateness, due: mixedDue}
	}
	return place{sectionRegular, level, p.shareOf(now, job), lateness, job.DueAt}
}

// shareOf returns the share of a place.
func (p *Planner) shareOf(now cicadapitch.Instant, job *jobState) int {
	if p.shares.Work(now, job.Customer) > p.equalShare {
		return 1
	}
	return 0
}

// latenessOf returns the lateness of a place.
func (p *Planner) latenessOf(now cicadapitch.Instant, job *jobState) int {
	switch {
	case job.Retried:
		return 1
	case p.isLate(now, job):
		return 2
	}
	return 0
}

// graceIsOver reports whether a job is so late that it is served after all others.
func (p *Planner) graceIsOver(now cicadapitch.Instant, job *jobState) bool {
	return now.Add(p.ExpectedDuration(len(job.queued))) > job.lastUsefulEnd()
}

// lastUsefulEnd returns the end until which the job keeps a place by its level.
func (job *jobState) lastUsefulEnd() cicadapitch.Instant {
	return job.DueAt.Add(Grace(job.DueAt, job.ExpiresAt))
}

// Grace returns how late work may be that keeps a place by its priority level, given when it is due and when it
// expires.
func Grace(dueAt, expiresAt cicadapitch.Instant) cicadapitch.Millis {
	return cicadapitch.Millis(graceShare * float64(max(expiresAt.Sub(dueAt), 0)))
}

// sortedJobs returns the jobs with queued pieces in the order in which they are served. Streams that
// are taken up again come first.
//
// Without contention the jobs that can still meet their objective follow, then those whose request was
// refused before, then the other late ones. Each group is sorted by due time, to which priorityStep is
// added for each priority.
//
// Under contention the priority levels follow each other, each in the order above, with the jobs of customers
// that have had more than an equal share behind those of others. A late job keeps its place in
// its level while its answer is worth something: behind all jobs on time it would wait for as long as there
// are any (docs/design/stages.md).
func (p *Planner) sortedJobs(now cicadapitch.Instant) []*jobState {
	type placedJob struct {
		place
		job *jobState
	}
	var placed []placedJob
	for _, job := range p.jobs {
		if len(job.queued) > 0 {
			placed = append(placed, placedJob{p.placeOf(now, job), job})
		}
	}
	slices.SortFunc(placed, func(a, b placedJob) int {
		return cmp.Or(a.compare(b.place), cmp.Compare(a.job.ID, b.job.ID))
	})
	list := make([]*jobState, len(placed))
	for i := range placed {
		list[i] = placed[i].job
	}
	return list
}

// contended reports whether several priority levels or customers compete for the endpoints, so that some of their jobs are
// late or will be.
func (p *Planner) contended(now cicadapitch.Instant) bool {
	return p.contendedAt > 0 && now.Sub(p.contendedAt) < contentionHold
}

// findContention finds out whether jobs compete. It does so by the order without contention: jobs of
// several levels or customers wait, more than the free endpoints can take, and one of them is late or
// expected to be.
func (p *Planner) findContention(now cicadapitch.Instant) {
	if p.withoutContention || !p.competingJobs(now) {
		return
	}
	rate, untilFree := p.throughput(now)
	if rate == 0 {
		return
	}
	// Contention that was found before does not matter for this order.
	p.contendedAt = 0
	queuedUpTo := 0
	for _, job := range p.sortedJobs(now) {
		queuedUpTo += len(job.queued)
		wait := untilFree + cicadapitch.Millis(float64(queuedUpTo)/rate)
		if job.Retried || now.Add(wait+p.ExpectedDuration(len(job.queued))) > job.DueAt {
			p.contendedAt = now
			return
		}
	}
}

// competingJobs reports whether jobs of several levels or customers wait, and more pieces than the
// calls that can start now take. It sets equalShare.
func (p *Planner) competingJobs(now cicadapitch.Instant) bool {
	queued, levels, wanting := 0, map[int]bool{}, map[cicadapitch.CustomerID]bool{}
	for _, job := range p.jobs {
		if len(job.queued) == 0 || job.Resumed {
			continue
		}
		queued += len(job.queued)
		levels[priorityLevel(job.Priority)] = true
		wanting[job.Customer] = true
	}
	p.equalShare = p.shares.Equal(now, wanting)
	if len(levels) < 2 && len(wanting) < 2 {
		return false
	}
	return queued > p.freeCount(now)*p.spec.MaxPieces
}
