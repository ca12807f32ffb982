package batch

import (
	"slices"

	"github.com/samber/lo"

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
	// minSpareShare is the least share of the throughput that wait estimates leave
	// to a job, however high the arrival rate of more urgent jobs is.
	minSpareShare = 0.05
	// maxMemoryShare is the share of an endpoint's result memory that is filled. The
	// rest is a margin, since the sizes are approximate.
	maxMemoryShare = 0.95
	// evictionThreshold is the used share of an endpoint's result memory from which
	// the planner evicts fetched results.
	evictionThreshold float64 = 0.4
	// usableLifeShare is the share of a result's life after which a job that reads
	// the result expires.
	usableLifeShare = 0.8
	// memoryShareOfCall is the share of an endpoint's result memory that each of
	// several consecutive calls can use.
	memoryShareOfCall = 0.5
	// resultBytesWeight is the weight of the newest job in the mean size of a
	// result.
	resultBytesWeight = 0.05
	// refusalTTL is how long a refusal is remembered: longer than any caller
	// waits before it sends the request again.
	refusalTTL cicadapitch.Millis = 10_000
	// maxMemoryWait limits how long an endpoint waits for result memory before it
	// starts a call that is less full than minFillShare.
	maxMemoryWait cicadapitch.Millis = 120
	// minFillShare is the share of a full call from which an endpoint doesn't wait
	// for more result memory.
	minFillShare float64 = 0.4
	// takeoverTime is the time after the planner's first job during which the
	// endpoints may still run calls of an earlier owner. The durations of calls
	// that start in this time don't count towards the slowdown. It is also the time
	// after a call of this planner within which no other owner is assumed to have come and gone.
	takeoverTime cicadapitch.Millis = 1200
	// unknownResultLife is how long the memory of unknown results counts as used,
	// about as long as a request needs its results.
	unknownResultLife cicadapitch.Millis = 700
	// zoneWaitSlack is the minimum time that a job must have left before its due
	// time if it waits for an endpoint in its zone.
	zoneWaitSlack cicadapitch.Millis = 250
	// planInterval is the longest time between two runs of Plan, so that overdue
	// calls and expiring jobs are found.
	planInterval cicadapitch.Millis = 50
)

// Planner plans the calls of one shard of a stage service at its owner. It is not
// safe for concurrent use.
type Planner struct {
	spec      catalog.BatchSpec
	endpoints map[cicadapitch.EndpointID]*endpointState
	jobs      map[JobID]*jobState
	// results are the results at the endpoints by handle, with placeholders for
	// memory that is used by unknown results.
	results map[string]result
	// calls maps each running call to its endpoint.
	calls      map[CallID]*endpointState
	lastCallID CallID
	// outcomes are returned by the next Plan.
	outcomes []Outcome
	demand   demand
	reserve  reserve
	shares   *Shares
	// equalShare is the equal share of the customers whose jobs wait, as of the last look for contention.
	equalShare float64
	// meanResultBytes is the smoothed size of the result of a piece.
	meanResultBytes float64
	// firstJobAt is when the planner got its first job, or 0.
	firstJobAt cicadapitch.Instant
	// refusedAt maps an input key to the time when a request with that key was
	// last refused.
	refusedAt map[string]cicadapitch.Instant
	// contendedAt is when contention was last found, or 0. withoutContention keeps the order of
	// a service without contention, for comparison.
	contendedAt       cicadapitch.Instant
	withoutContention bool
	// hedgeEverything hedges overdue calls without regard to their endpoints and the queue, for comparison.
	hedgeEverything bool
	// lastCallStart is when the last call started.
	lastCallStart cicadapitch.Instant
	// versionLimit is nil while no software version is limited.
	versionLimit *VersionLimit
	// plannedAt is when Plan last ran.
	plannedAt cicadapitch.Instant
	// waste is the unused work that TakeWaste has not returned yet, endedJobs are the jobs whose calls
	// may still run.
	waste     Waste
	endedJobs map[JobID]endedJob
	// toFree are the handles of results that the next Plan returns to be freed: no
	// job needs them, or they were evicted.
	toFree []string
}

// Option configures a Planner.
type Option func(*Planner)

// WithoutContention keeps the order of a service without contention at all times.
func WithoutContention() Option { return func(p *Planner) { p.withoutContention = true } }

// NewPlanner returns a planner without endpoints.
func NewPlanner(spec catalog.BatchSpec, opts ...Option) *Planner {
	p := &Planner{
		spec:      spec,
		endpoints: map[cicadapitch.EndpointID]*endpointState{},
		jobs:      map[JobID]*jobState{},
		results:   map[string]result{},
		calls:     map[CallID]*endpointState{},
		refusedAt: map[string]cicadapitch.Instant{},
		endedJobs: map[JobID]endedJob{},
		shares:    NewShares(),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetSpec replaces the specification of the service.
func (p *Planner) SetSpec(spec catalog.BatchSpec) { p.spec = spec }

// SetEndpoints replaces the endpoints that may get calls. An endpoint that has
// restarted or changed its address starts with a fresh state.
func (p *Planner) SetEndpoints(list []catalog.Endpoint) {
	seen := map[cicadapitch.EndpointID]bool{}
	for _, e := range list {
		seen[e.ID] = true
		s := p.endpoints[e.ID]
		if s == nil || s.Started != e.Started || s.Address != e.Address {
			s = newEndpointState(e)
			p.endpoints[e.ID] = s
		}
		s.Endpoint, s.removed = e, false
	}
	for id, s := range p.endpoints {
		if !seen[id] {
			s.removed = true
			if len(s.calls) == 0 {
				delete(p.endpoints, id)
			}
		}
	}
}

// limitCallShare is the share of the limit that an endpoint has named which the calls of a
// planner use. The calls that free results use as much.
const limitCallShare = 0.45

// SetRateLimits sets the calls a second that endpoints take, those that free results
// included. rateOf returns false for an endpoint without a limit.
func (p *Planner) SetRateLimits(rateOf func(catalog.Endpoint) (float64, bool)) {
	for _, s := range p.endpoints {
		limit, limited := rateOf(s.Endpoint)
		switch {
		case !limited:
			s.callRate = 0
		case limit <= 0:
			s.callRate = -1
		default:
			s.callRate = limitCallShare * limit
		}
	}
}

// Pause keeps calls away from an endpoint that refused one until an instant.
func (p *Planner) Pause(id cicadapitch.EndpointID, until cicadapitch.Instant) {
	if s := p.endpoints[id]; s != nil {
		s.pausedUntil = max(s.pausedUntil, until)
	}
}

// Paused reports whether an endpoint takes no calls of this host now.
func (p *Planner) Paused(now cicadapitch.Instant, id cicadapitch.EndpointID) bool {
	s := p.endpoints[id]
	return s != nil && now < s.pausedUntil
}

// FreeInterval returns the least time between two calls that free results at an endpoint,
// by the limit that it has named. It returns false if the endpoint takes none.
func (p *Planner) FreeInterval(id cicadapitch.EndpointID) (cicadapitch.Millis, bool) {
	s := p.endpoints[id]
	if s == nil || s.callRate == 0 {
		return 0, true
	}
	return cicadapitch.Millis(float64(cicadapitch.Second) / s.callRate), s.callRate > 0
}

// ExpectedDuration returns the expected duration of a call with n pieces.
func (p *Planner) ExpectedDuration(n int) cicadapitch.Millis {
	return p.spec.CallTime + cicadapitch.Millis(float64(n)*p.spec.PieceTime)
}

// Submit adds a job. If the job would end after j.ExpiresAt, it is refused and the
// next Plan returns its outcome. A job with inputs expires at the latest
// usableLifeShare*ResultTTL after now, before its inputs may expire. A job whose Key
// was refused within refusalTTL counts as retried.
func (p *Planner) Submit(now cicadapitch.Instant, j Job) {
	if len(j.Inputs) > 0 {
		j.ExpiresAt = min(j.ExpiresAt, now.Add(cicadapitch.Millis(usableLifeShare*float64(p.spec.ResultTTL))))
	}
	if p.firstJobAt == 0 {
		p.firstJobAt = now
	}
	job := &jobState{Job: j, submittedAt: now, remaining: j.Pieces, zones: map[cicadapitch.ZoneID]int{}}
	if at, ok := p.refusedAt[j.Key]; ok && now.Sub(at) < refusalTTL && !j.Resumed {
		job.Retried = true
	}
	job.handles, job.queued = make([]string, j.Pieces), lo.Range(j.Pieces)
	// The job may be the first that competes with others.
	p.jobs[j.ID] = job
	p.findContention(now)
	delete(p.jobs, j.ID)
	if !p.admit(now, job) {
		p.outcomes = append(p.outcomes, Outcome{Job: j.ID, Reason: "the queue is longer than the request's time", RetryAfter: p.roomAfter(now, job)})
		return
	}
	p.meanResultBytes += resultBytesWeight * (float64(j.ResultBytes) - p.meanResultBytes)
	p.jobs[j.ID] = job
}

// RecordRefusal records that the request with the given input key was refused. If
// the caller sends the request again, its jobs precede other late jobs. An empty
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

// Cancel removes a job. The next Plans return its results to be freed, including
// those of calls that are still running.
func (p *Planner) Cancel(id JobID) {
	job := p.jobs[id]
	if job == nil {
		return
	}
	p.recordEnd(job, WasteCanceled)
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

// endJob removes a job and adds its outcome. cause is that of the work which is of no use then.
func (p *Planner) endJob(job *jobState, o Outcome, cause WasteCause) {
	p.recordEnd(job, cause)
	p.removeJob(job)
	o.Job = job.ID
	p.outcomes = append(p.outcomes, o)
}

// FinishCall ends a call. results has one entry for each piece, or is nil after a
// failure.
func (p *Planner) FinishCall(now cicadapitch.Instant, id CallID, results []PieceResult, failure Failure) {
	s := p.calls[id]
	if s == nil {
		return
	}
	c := s.calls[id]
	delete(s.calls, id)
	delete(p.calls, id)
	s.promptAt = 0
	if s.removed && len(s.calls) == 0 && p.endpoints[s.ID] == s {
		delete(p.endpoints, s.ID)
	}
	switch failure {
	case CallRefused:
		s.backoffUntil = now.Add(refusedBackoff)
	case CallFailed:
		s.startBackoff(now)
	default:
		s.backoff = 0
		ratio := float64(now.Sub(c.started)) / float64(c.ExpectedDuration)
		if ratio < slowThreshold {
			s.promptAt = now
		}
		if c.started.Sub(p.firstJobAt) > takeoverTime {
			s.recordSlowdown(now, ratio)
		}
	}
	work := float64(now.Sub(c.started)) / float64(len(c.Pieces))
	for i, ref := range c.Pieces {
		if failure != NoFailure {
			if failure == CallFailed {
				p.countWaste(WasteFailed, work)
			}
			p.updateMemoryAfterFailure(now, s, c, i, failure)
			p.requeuePiece(ref, failure == CallFailed)
			continue
		}
		p.recordPieceResult(now, s, ref, results[i], work)
	}
	if slices.ContainsFunc(results, func(r PieceResult) bool { return r.NoRoom }) {
		p.countUnknownResults(now, s, id)
	}
}

// recordPieceResult processes the result of one piece of a call that was answered. work is the
// part of the call's time that the piece took, in milliseconds.
func (p *Planner) recordPieceResult(now cicadapitch.Instant, s *endpointState, ref PieceRef, r PieceResult, work float64) {
	if r.Handle == "" {
		s.resultMemoryUsed -= ref.Job.ResultBytes
	} else {
		p.results[r.Handle] = result{endpoint: s.ID, bytes: ref.Job.ResultBytes, expiresAt: now.Add(p.spec.ResultTTL), work: work}
	}
	job := p.jobs[ref.Job.ID]
	switch {
	case job == nil || job.handles[ref.Index] != "":
		p.countWaste(p.unusedBy(ref), work)
		if r.Handle != "" {
			p.toFree = append(p.toFree, r.Handle)
		}
	case r.Handle != "":
		job.handles[ref.Index] = r.Handle
		job.zones[s.Zone]++
		job.queued = slices.DeleteFunc(job.queued, func(i int) bool { return i == ref.Index })
		if job.remaining--; job.remaining == 0 {
			delete(p.jobs, job.ID)
			p.outcomes = append(p.outcomes, Outcome{Job: job.ID, Handles: job.handles, Zone: job.mainZone(), Retried: job.Retried})
		}
	case r.InputLost:
		p.countWaste(WasteInputLost, work)
		p.endJob(job, Outcome{InputLost: true, Reason: "an input is gone"}, WasteInputLost)
	default:
		p.countWaste(r.wasteCause(), work)
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
			p.endJob(job, Outcome{Reason: "the pieces failed too often"}, WasteFailed)
			return
		}
	}
	job.queued = append(job.queued, ref.Index)
}

// isInFlight reports whether a piece is in a call that is not overdue.
func (p *Planner) isInFlight(id JobID, index int) bool {
	for callID, s := range p.calls {
		c := s.calls[callID]
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
func (p *Planner) Plan(now cicadapitch.Instant) (calls []Call, outcomes []Outcome, toFree []string, next cicadapitch.Millis) {
	p.plannedAt = now
	p.forgetEndedJobs(now)
	p.findContention(now)
	p.expireJobsAndResults(now)
	p.hedgeOverdueCalls(now)
	p.evictFetched()
	p.reclaimMemory(now)
	var held cicadapitch.Millis
	jobs, free := p.sortedJobs(now), p.freeEndpoints(now)
	for i, s := range free {
		idle := len(free) - i
		refs, lacksMemory := p.fillCall(now, s, jobs, idle)
		if len(refs) == 0 {
			continue
		}
		if held = p.holdTime(now, refs, idle); held > 0 && !lacksMemory {
			p.requeueUnsent(refs)
			break
		}
		calls = append(calls, p.startCall(now, s, refs))
	}
	outcomes, toFree = p.outcomes, p.toFree
	p.outcomes, p.toFree = nil, nil
	return calls, outcomes, toFree, p.nextPlanIn(held)
}

// nextPlanIn returns the time after which to plan again at the latest. held is
// the time for which a call is held back, or 0. An endpoint that waits for result
// memory halves the interval.
func (p *Planner) nextPlanIn(held cicadapitch.Millis) cicadapitch.Millis {
	if held > 0 {
		return min(held, planInterval)
	}
	for _, s := range p.endpoints {
		if s.memoryWaitSince > 0 {
			return planInterval / 2
		}
	}
	return planInterval
}

// HandOver ends the jobs whose pieces are all in the queue, so that the new owner
// of the shard can run them. It keeps jobs with OwnerUnreachable set.
func (p *Planner) HandOver() {
	for _, job := range p.jobs {
		if len(job.queued) == job.Pieces && !job.OwnerUnreachable {
			p.endJob(job, Outcome{OwnerChanged: true, Reason: "the service has another owner"}, WasteCanceled)
		}
	}
}

// Idle reports whether there are no jobs, calls or results.
func (p *Planner) Idle() bool { return len(p.jobs) == 0 && len(p.calls) == 0 && len(p.results) == 0 }

// expireJobsAndResults ends the jobs that can no longer be served before they
// expire, and removes results whose life is over.
func (p *Planner) expireJobsAndResults(now cicadapitch.Instant) {
	rate, untilFree := p.throughput(now)
	// queuedUpTo is the number of queued pieces up to and including the job.
	queuedUpTo := 0
	for _, job := range p.sortedJobs(now) {
		queuedUpTo += len(job.queued)
		end := now.Add(p.ExpectedDuration(1))
		spareRate := max(rate-p.overtakingRate(now, job), minSpareShare*rate)
		if spareRate > 0 && p.isLate(now, job) && queuedUpTo > p.spec.MaxPieces {
			end = end.Add(untilFree + cicadapitch.Millis(float64(queuedUpTo)/spareRate))
		}
		if end > job.ExpiresAt {
			p.endJob(job, Outcome{Reason: "the request's time does not suffice", RetryAfter: p.drainTime(now)}, WasteExpired)
		}
	}
	for h, r := range p.results {
		if now > r.expiresAt {
			p.removeResult(h, r)
		}
	}
}

// hedgeOverdueCalls puts the pieces of overdue calls back into the queue, so that
// another endpoint runs them too: the endpoint may be slow or have stopped
// without notice.
func (p *Planner) hedgeOverdueCalls(now cicadapitch.Instant) {
	threshold := slowThreshold
	if !p.hedgeEverything && p.nextCallIsFull(now) {
		threshold = busyThreshold
	}
	for _, s := range p.endpoints {
		for _, c := range s.calls {
			took := now.Sub(c.started)
			limit := cicadapitch.Millis(float64(c.ExpectedDuration)*threshold*p.expectedSlowdown(c)) + overdueSlack
			if c.overdue || took <= limit {
				continue
			}
			c.overdue = true
			s.slowdown, s.slowdownAt = max(s.slowdown, float64(took)/float64(c.ExpectedDuration)), now
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

// expectedSlowdown returns the factor by which a call is expected to take longer.
func (p *Planner) expectedSlowdown(c *inFlightCall) float64 {
	if p.hedgeEverything {
		return 1
	}
	return c.slowdown
}

// nextCallIsFull reports whether more pieces wait than the free endpoints and the next call take, so that the
// pieces of overdue calls would take the places of others.
func (p *Planner) nextCallIsFull(now cicadapitch.Instant) bool {
	return p.queuedPieces() >= p.spec.MaxPieces*(p.freeCount(now)+1)
}

// freeCount returns the number of endpoints that can start a call now.
func (p *Planner) freeCount(now cicadapitch.Instant) int {
	n := 0
	for _, s := range p.endpoints {
		if s.canStart(now, p.spec.Slots) {
			n++
		}
	}
	return n
}

// Endpoint returns the endpoint with the given id and whether the planner knows
// one.
func (p *Planner) Endpoint(id cicadapitch.EndpointID) (catalog.Endpoint, bool) {
	s := p.endpoints[id]
	if s == nil {
		return catalog.Endpoint{}, false
	}
	return s.Endpoint, true
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
