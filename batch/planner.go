package batch

import (
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

const (
	// largeTransfer is the number of bytes from which moving inputs and results
	// between zones costs more than a short wait.
	largeTransfer cicadapitch.Bytes = 100_000
	// maxFailuresPerPiece limits the failed runs of pieces of a job, as a
	// multiple of its number of pieces.
	maxFailuresPerPiece = 4
	// priorityStep is added to the due time for each priority level when jobs are
	// sorted.
	priorityStep cicadapitch.Millis = 400
	// minSpareCapacity is the share of the throughput that is always counted on
	// for late jobs, whatever the arrival rate.
	minSpareCapacity = 0.05
	// roomLimit is the share of an endpoint's room that is filled. The rest is a
	// margin, since the sizes are approximate.
	roomLimit = 0.95
	// evictFetchedFrom is the share of its room from which an endpoint evicts
	// fetched results.
	evictFetchedFrom float64 = 0.4
	// usableLife is the share of a result's life after which a job that reads it
	// expires.
	usableLife = 0.8
	// roomPerCall is the share of the room that each of several consecutive calls
	// can use.
	roomPerCall = 0.5
	// resultBytesWeight is the weight of the newest job in the mean size of a
	// result.
	resultBytesWeight = 0.05
	// refusalTTL is how long a refusal is remembered: longer than any caller
	// waits before it sends the request again.
	refusalTTL cicadapitch.Millis = 10_000
	// maxRoomWait is how long a call that lacks room waits for results to be
	// freed if it carries less than the share minCallFill of a full call.
	maxRoomWait cicadapitch.Millis = 120
	minCallFill float64            = 0.4
	// takeoverTime is how long after the first job calls of an earlier owner may
	// still run at the endpoints. Calls that start within it are not counted in
	// the slowdown.
	takeoverTime cicadapitch.Millis = 1200
	// unknownRoomLife is how long room that is used by unknown results counts as
	// used: about as long as a request needs its results.
	unknownRoomLife cicadapitch.Millis = 700
	// zoneWaitSlack is the time to spare that a job keeps when it waits for an
	// endpoint in its zone.
	zoneWaitSlack cicadapitch.Millis = 250
	// planInterval is the interval at which overdue calls and expiring jobs are
	// checked.
	planInterval cicadapitch.Millis = 50
)

// Planner plans the calls of one shard of a stage service at its owner. It is not
// safe for concurrent use.
type Planner struct {
	spec    catalog.BatchSpec
	workers map[cicadapitch.EndpointID]*worker
	jobs    map[JobID]*jobState
	// results are the results at the endpoints by handle, with placeholders for
	// room that is used by unknown results.
	results map[string]result
	// calls maps each running call to its endpoint.
	calls      map[CallID]*worker
	lastCallID CallID
	// outcomes are returned by the next Plan.
	outcomes []Outcome
	demand   demand
	// meanResultBytes is the smoothed size of the result of a piece.
	meanResultBytes float64
	// firstJobAt is when the planner got its first job, or 0.
	firstJobAt cicadapitch.Instant
	// refusedAt is when a caller with an input key was last refused.
	refusedAt map[string]cicadapitch.Instant
	// lastCallStart is when the last call started.
	lastCallStart cicadapitch.Instant
	// toFree are the handles of results that the next Plan returns to be freed: no
	// job needs them, or they were evicted.
	toFree []string
}

// NewPlanner returns a planner without endpoints.
func NewPlanner(spec catalog.BatchSpec) *Planner {
	return &Planner{
		spec:      spec,
		workers:   map[cicadapitch.EndpointID]*worker{},
		jobs:      map[JobID]*jobState{},
		results:   map[string]result{},
		calls:     map[CallID]*worker{},
		refusedAt: map[string]cicadapitch.Instant{},
	}
}

// SetSpec replaces the specification of the service.
func (p *Planner) SetSpec(spec catalog.BatchSpec) { p.spec = spec }

// SetEndpoints replaces the endpoints that may get calls. An endpoint that has
// restarted or changed its address starts with a fresh state.
func (p *Planner) SetEndpoints(list []catalog.Endpoint) {
	seen := map[cicadapitch.EndpointID]bool{}
	for _, e := range list {
		seen[e.ID] = true
		w := p.workers[e.ID]
		if w == nil || w.Started != e.Started || w.Address != e.Address {
			w = newWorker(e)
			p.workers[e.ID] = w
		}
		w.Endpoint, w.removed = e, false
	}
	for id, w := range p.workers {
		if !seen[id] {
			w.removed = true
			if len(w.calls) == 0 {
				delete(p.workers, id)
			}
		}
	}
}

// ExpectedDuration returns the expected duration of a call with n pieces.
func (p *Planner) ExpectedDuration(n int) cicadapitch.Millis {
	return p.spec.CallTime + cicadapitch.Millis(float64(n)*p.spec.PieceTime)
}

// Submit adds a job. A job whose results would come after it expires is refused:
// the next Plan returns its outcome.
func (p *Planner) Submit(now cicadapitch.Instant, j Job) {
	if len(j.Inputs) > 0 {
		j.ExpiresAt = min(j.ExpiresAt, now.Add(cicadapitch.Millis(usableLife*float64(p.spec.ResultTTL))))
	}
	if p.firstJobAt == 0 {
		p.firstJobAt = now
	}
	job := &jobState{Job: j, handles: make([]string, j.Pieces), remaining: j.Pieces, zones: map[cicadapitch.ZoneID]int{}}
	for i := range j.Pieces {
		job.queued = append(job.queued, i)
	}
	if at, ok := p.refusedAt[j.Key]; ok && now.Sub(at) < refusalTTL {
		job.Retried = true
	}
	work := p.ExpectedDuration(j.Pieces)
	switch {
	case !job.Retried && now.Add(p.EstimateWait(now, j.Priority)+work) <= j.DueAt:
		p.demand.add(now, j.Priority, j.Pieces)
	case now.Add(p.lateJobWait(now, job.Retried)+work) > j.ExpiresAt:
		p.outcomes = append(p.outcomes, Outcome{Job: j.ID, Reason: "the queue is longer than the request's time", RetryAfter: p.drainTime(now)})
		return
	}
	p.meanResultBytes += resultBytesWeight * (float64(j.ResultBytes) - p.meanResultBytes)
	p.jobs[j.ID] = job
}

// RecordRefusal records that a request with an input key was refused, so that it
// goes before other late jobs when its caller sends it again. An empty
// key is ignored.
func (p *Planner) RecordRefusal(now cicadapitch.Instant, key string) {
	for k, at := range p.refusedAt {
		if now.Sub(at) >= refusalTTL {
			delete(p.refusedAt, k)
		}
	}
	if key != "" {
		p.refusedAt[key] = now
	}
}

// Cancel removes a job. Its results are freed, also those that are still to come.
func (p *Planner) Cancel(id JobID) {
	job := p.jobs[id]
	if job == nil {
		return
	}
	p.removeJob(job)
}

// removeJob removes a job from the queue and adds its results to toFree.
func (p *Planner) removeJob(job *jobState) {
	delete(p.jobs, job.ID)
	job.queued = nil
	for _, h := range job.handles {
		if h != "" {
			p.toFree = append(p.toFree, h)
		}
	}
}

// endJob removes a job and adds its outcome.
func (p *Planner) endJob(job *jobState, o Outcome) {
	p.removeJob(job)
	o.Job = job.ID
	p.outcomes = append(p.outcomes, o)
}

// FinishCall ends a call. results has one entry for each piece, or is nil after a
// failure.
func (p *Planner) FinishCall(now cicadapitch.Instant, id CallID, results []PieceResult, failure Failure) {
	w := p.calls[id]
	if w == nil {
		return
	}
	c := w.calls[id]
	delete(w.calls, id)
	delete(p.calls, id)
	if w.removed && len(w.calls) == 0 && p.workers[w.ID] == w {
		delete(p.workers, w.ID)
	}
	switch failure {
	case CallRefused:
		w.backoffUntil = now.Add(refusedBackoff)
	case CallFailed:
		w.startBackoff(now)
	default:
		w.backoff = 0
		if c.started.Sub(p.firstJobAt) > takeoverTime {
			w.recordSlowdown(now, float64(now.Sub(c.started))/float64(c.ExpectedDuration))
		}
	}
	for i, ref := range c.Pieces {
		if failure != NoFailure {
			p.releaseRoom(now, w, c, i, failure)
			p.requeuePiece(ref, failure == CallFailed)
			continue
		}
		p.finishPiece(now, w, ref, results[i])
	}
	if slices.ContainsFunc(results, func(r PieceResult) bool { return r.NoRoom }) {
		p.countUnknownResults(now, w, id)
	}
}

// finishPiece takes the result of a piece of a call that got an answer.
func (p *Planner) finishPiece(now cicadapitch.Instant, w *worker, ref PieceRef, r PieceResult) {
	if r.Handle == "" {
		w.roomUsed -= ref.Job.ResultBytes
	} else {
		p.results[r.Handle] = result{endpoint: w.ID, bytes: ref.Job.ResultBytes, expire: now.Add(p.spec.ResultTTL)}
	}
	job := p.jobs[ref.Job.ID]
	switch {
	case job == nil || job.handles[ref.Index] != "":
		if r.Handle != "" {
			p.toFree = append(p.toFree, r.Handle)
		}
	case r.Handle != "":
		job.handles[ref.Index] = r.Handle
		job.zones[w.Zone]++
		job.queued = slices.DeleteFunc(job.queued, func(i int) bool { return i == ref.Index })
		if job.remaining--; job.remaining == 0 {
			delete(p.jobs, job.ID)
			p.outcomes = append(p.outcomes, Outcome{Job: job.ID, Handles: job.handles, Zone: job.mainZone(), Retried: job.Retried})
		}
	case r.InputLost:
		p.endJob(job, Outcome{InputLost: true, Reason: "an input is gone"})
	default:
		p.requeuePiece(ref, r.Failed)
	}
}

// requeuePiece puts a piece without a result back into the queue, unless another
// call still runs it. If failed is set, the run counts as a failure, and the job
// ends after too many of them.
func (p *Planner) requeuePiece(ref PieceRef, failed bool) {
	job := p.jobs[ref.Job.ID]
	if job == nil || job.handles[ref.Index] != "" || slices.Contains(job.queued, ref.Index) {
		return
	}
	if p.isInFlight(job.ID, ref.Index) {
		return
	}
	if failed {
		if job.failures++; job.failures > maxFailuresPerPiece*job.Pieces {
			p.endJob(job, Outcome{Reason: "the pieces failed too often"})
			return
		}
	}
	job.queued = append(job.queued, ref.Index)
}

// isInFlight reports whether a piece is in a call that is not overdue.
func (p *Planner) isInFlight(id JobID, index int) bool {
	for callID, w := range p.calls {
		c := w.calls[callID]
		if c.overdue {
			continue
		}
		for _, ref := range c.Pieces {
			if ref.Job.ID == id && ref.Index == index {
				return true
			}
		}
	}
	return false
}

// Plan returns the calls to start, the outcomes of jobs that ended, the handles
// of results to free, and the time after which to plan again at the latest.
func (p *Planner) Plan(now cicadapitch.Instant) ([]Call, []Outcome, []string, cicadapitch.Millis) {
	p.expireJobs(now)
	p.hedgeOverdueCalls(now)
	p.evictFetched()
	var (
		calls []Call
		held  cicadapitch.Millis
	)
	jobs := p.sortedJobs(now)
	for _, w := range p.freeWorkers(now) {
		refs, lacksRoom := p.fillCall(now, w, jobs)
		if len(refs) == 0 {
			continue
		}
		if held = p.holdTime(now, refs); held > 0 && !lacksRoom {
			p.requeueUnsent(refs)
			break
		}
		calls = append(calls, p.startCall(now, w, refs))
	}
	outcomes, toFree := p.outcomes, p.toFree
	p.outcomes, p.toFree = nil, nil
	return calls, outcomes, toFree, p.nextPlanIn(held)
}

// nextPlanIn returns the time after which to plan again at the latest. held is
// how long a call is held back, or 0.
func (p *Planner) nextPlanIn(held cicadapitch.Millis) cicadapitch.Millis {
	if held > 0 {
		return min(held, planInterval)
	}
	for _, w := range p.workers {
		if w.roomWaitSince > 0 {
			return planInterval / 2
		}
	}
	return planInterval
}

// HandOver ends the jobs whose pieces are all in the queue, so that another owner
// can run them. Jobs that were sent here because their owner could not be reached
// stay.
func (p *Planner) HandOver() {
	for _, job := range p.jobs {
		if len(job.queued) == job.Pieces && !job.OwnerUnreachable {
			p.endJob(job, Outcome{OwnerChanged: true, Reason: "the service has another owner"})
		}
	}
}

// Idle reports whether there are no jobs, calls or results.
func (p *Planner) Idle() bool { return len(p.jobs) == 0 && len(p.calls) == 0 && len(p.results) == 0 }

// expireJobs ends the jobs that can no longer be served before they expire, and
// removes results whose life is over.
func (p *Planner) expireJobs(now cicadapitch.Instant) {
	rate, first := p.throughput(now)
	spare := max(rate-p.demand.total(now), minSpareCapacity*rate)
	ahead := 0
	for _, job := range p.sortedJobs(now) {
		ahead += len(job.queued)
		end := now.Add(p.ExpectedDuration(1))
		if spare > 0 && p.isLate(now, job) && ahead > p.spec.MaxPieces {
			end = end.Add(first + cicadapitch.Millis(float64(ahead)/spare))
		}
		if end > job.ExpiresAt {
			p.endJob(job, Outcome{Reason: "the request's time does not suffice", RetryAfter: p.drainTime(now)})
		}
	}
	for h, r := range p.results {
		if now > r.expire {
			p.removeResult(h, r)
		}
	}
}

// hedgeOverdueCalls puts the pieces of overdue calls back into the queue, so that
// another endpoint runs them too: the endpoint may be slow or have stopped
// without notice.
func (p *Planner) hedgeOverdueCalls(now cicadapitch.Instant) {
	for _, w := range p.workers {
		for _, c := range w.calls {
			took := now.Sub(c.started)
			limit := cicadapitch.Millis(float64(c.ExpectedDuration)*slowThreshold) + overdueSlack
			if c.overdue || took <= limit {
				continue
			}
			c.overdue = true
			w.slowdown, w.slowdownAt = max(w.slowdown, float64(took)/float64(c.ExpectedDuration)), now
			for _, ref := range c.Pieces {
				job := p.jobs[ref.Job.ID]
				if job == nil || job.handles[ref.Index] != "" || slices.Contains(job.queued, ref.Index) || p.isInFlight(job.ID, ref.Index) {
					continue
				}
				job.queued = append(job.queued, ref.Index)
			}
		}
	}
}

// Endpoint returns the endpoint with an id. It reports false if the planner does
// not know it.
func (p *Planner) Endpoint(id cicadapitch.EndpointID) (catalog.Endpoint, bool) {
	w := p.workers[id]
	if w == nil {
		return catalog.Endpoint{}, false
	}
	return w.Endpoint, true
}

// mainZone returns the zone that holds most of the job's results.
func (job *jobState) mainZone() cicadapitch.ZoneID {
	var main cicadapitch.ZoneID
	for z, n := range job.zones {
		if n > job.zones[main] || n == job.zones[main] && z < main {
			main = z
		}
	}
	return main
}
