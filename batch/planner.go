package batch

import (
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

const (
	// heavyMove is the size from which moving inputs and results between zones
	// costs more than a short wait.
	heavyMove cicadapitch.Bytes = 100_000
	// maxTries bounds the calls that one piece's job is part of after failures.
	maxTries = 4
	// priorityStep is how much earlier one priority counts as due than the next.
	priorityStep cicadapitch.Millis = 400
	// leastSpare is the part of the capacity that late work can count on however
	// much arrives.
	leastSpare = 0.05
	// roomUse is the part of an endpoint's room that is filled, since sizes are
	// approximate.
	roomUse = 0.95
	// tightRoom is the part of its room from which an endpoint gives up results
	// that were fetched.
	tightRoom float64 = 0.4
	// lifeUse is the part of a result's life within which its use has to begin.
	lifeUse = 0.8
	// turnover is the part of the room that one of several calls in a row can use.
	turnover = 0.5
	// bytesWeight is the weight of the newest job in the usual size of a result.
	bytesWeight = 0.05
	// refusedMemory is how long a caller that was refused is known: longer than
	// any caller waits before it comes back.
	refusedMemory cicadapitch.Millis = 10_000
	// roomWait is how long a call that lacks room waits for results to be given up,
	// if it carries less than fairCall of what the queue would fill.
	roomWait cicadapitch.Millis = 120
	fairCall float64            = 0.4
	// newOwner is how long calls of an earlier owner may still run at endpoints.
	newOwner cicadapitch.Millis = 1200
	// othersLife is how long room that others took counts as taken: about as long
	// as a request needs its results.
	othersLife cicadapitch.Millis = 700
	// zoneSlack is the time to spare that a job keeps when it waits for an
	// endpoint in its zone.
	zoneSlack cicadapitch.Millis = 250
	// tick is the pause between looks at overdue calls and expiring jobs.
	tick cicadapitch.Millis = 50
)

// Planner is the state of one stage service at its owner. It is not safe for
// concurrent use.
type Planner struct {
	spec    catalog.BatchSpec
	workers map[cicadapitch.EndpointID]*worker
	jobs    map[JobID]*entry
	results map[string]result
	calls   map[CallID]*worker
	next    CallID
	done    []Outcome
	demand  demand
	// pieceBytes is the smoothed size of a result.
	pieceBytes float64
	// since is when the planner got its first job.
	since cicadapitch.Instant
	// refusals holds when callers with an input key were refused.
	refusals map[string]cicadapitch.Instant
	// lastStart is when the last call began.
	lastStart cicadapitch.Instant
	// orphans are results that nobody waits for.
	orphans []string
}

// NewPlanner returns a planner without endpoints.
func NewPlanner(spec catalog.BatchSpec) *Planner {
	return &Planner{
		spec:     spec,
		workers:  map[cicadapitch.EndpointID]*worker{},
		jobs:     map[JobID]*entry{},
		results:  map[string]result{},
		calls:    map[CallID]*worker{},
		refusals: map[string]cicadapitch.Instant{},
	}
}

// SetSpec takes a changed description of the service.
func (p *Planner) SetSpec(spec catalog.BatchSpec) { p.spec = spec }

// SetEndpoints takes the endpoints that may get work.
func (p *Planner) SetEndpoints(list []catalog.Endpoint) {
	seen := map[cicadapitch.EndpointID]bool{}
	for _, e := range list {
		seen[e.ID] = true
		w := p.workers[e.ID]
		if w == nil || w.Started != e.Started || w.Address != e.Address {
			w = newWorker(e)
			p.workers[e.ID] = w
		}
		w.Endpoint, w.gone = e, false
	}
	for id, w := range p.workers {
		if !seen[id] {
			w.gone = true
			if len(w.calls) == 0 {
				delete(p.workers, id)
			}
		}
	}
}

// Expected returns how long a call of n pieces takes.
func (p *Planner) Expected(n int) cicadapitch.Millis {
	return p.spec.CallTime + cicadapitch.Millis(float64(n)*p.spec.PieceTime)
}

// Submit adds a job, or refuses it at once where its results would come too
// late to be of use.
func (p *Planner) Submit(now cicadapitch.Instant, j Job) {
	if len(j.Inputs) > 0 {
		j.Expire = min(j.Expire, now.Add(cicadapitch.Millis(lifeUse*float64(p.spec.ResultTTL))))
	}
	if p.since == 0 {
		p.since = now
	}
	e := &entry{Job: j, handles: make([]string, j.Pieces), left: j.Pieces, zones: map[cicadapitch.ZoneID]int{}}
	for i := range j.Pieces {
		e.waiting = append(e.waiting, i)
	}
	if at, ok := p.refusals[j.Key]; ok && now.Sub(at) < refusedMemory {
		e.Returned = true
	}
	work := p.Expected(j.Pieces)
	switch {
	case !e.Returned && now.Add(p.Wait(now, j.Priority)+work) <= j.Due:
		p.demand.add(now, j.Priority, j.Pieces)
	case now.Add(p.lateWait(now, e.Returned)+work) > j.Expire:
		p.done = append(p.done, Outcome{Job: j.ID, Reason: "the queue is longer than the request's time", RetryAfter: p.drain(now)})
		return
	}
	p.pieceBytes += bytesWeight * (float64(j.ResultBytes) - p.pieceBytes)
	p.jobs[j.ID] = e
}

// Refused remembers that the caller with an input key was refused, so that it
// goes first when it comes back.
func (p *Planner) Refused(now cicadapitch.Instant, key string) {
	for k, at := range p.refusals {
		if now.Sub(at) >= refusedMemory {
			delete(p.refusals, k)
		}
	}
	if key != "" {
		p.refusals[key] = now
	}
}

// Cancel drops a job. Its results are freed as they come.
func (p *Planner) Cancel(id JobID) {
	e := p.jobs[id]
	if e == nil {
		return
	}
	p.drop(e)
}

func (p *Planner) drop(e *entry) {
	delete(p.jobs, e.ID)
	e.waiting = nil
	for _, h := range e.handles {
		if h != "" {
			p.orphans = append(p.orphans, h)
		}
	}
}

func (p *Planner) fail(e *entry, o Outcome) {
	p.drop(e)
	o.Job = e.ID
	p.done = append(p.done, o)
}

// Finish takes the end of a call.
func (p *Planner) Finish(now cicadapitch.Instant, id CallID, results []PieceResult, failure Failure) {
	w := p.calls[id]
	if w == nil {
		return
	}
	f := w.calls[id]
	delete(w.calls, id)
	delete(p.calls, id)
	if w.gone && len(w.calls) == 0 && p.workers[w.ID] == w {
		delete(p.workers, w.ID)
	}
	switch failure {
	case Full:
		w.until = now.Add(fullPause)
	case Broken:
		w.failed(now)
	default:
		w.pause = 0
		if f.started.Sub(p.since) > newOwner {
			w.learn(now, float64(now.Sub(f.started))/float64(f.Expected))
		}
	}
	for i, ref := range f.Pieces {
		if failure != None {
			p.unsettled(now, w, f, i, failure)
			p.again(ref, failure == Broken)
			continue
		}
		p.settle(now, w, ref, results[i])
	}
	if slices.ContainsFunc(results, func(r PieceResult) bool { return r.NoRoom }) {
		p.fullOfOthers(now, w, id)
	}
}

func (p *Planner) settle(now cicadapitch.Instant, w *worker, ref PieceRef, r PieceResult) {
	if r.Handle == "" {
		w.used -= ref.Job.ResultBytes
	} else {
		p.results[r.Handle] = result{endpoint: w.ID, bytes: ref.Job.ResultBytes, expire: now.Add(p.spec.ResultTTL)}
	}
	e := p.jobs[ref.Job.ID]
	switch {
	case e == nil || e.handles[ref.Index] != "":
		if r.Handle != "" {
			p.orphans = append(p.orphans, r.Handle)
		}
	case r.Handle != "":
		e.handles[ref.Index] = r.Handle
		e.zones[w.Zone]++
		e.waiting = slices.DeleteFunc(e.waiting, func(i int) bool { return i == ref.Index })
		if e.left--; e.left == 0 {
			delete(p.jobs, e.ID)
			p.done = append(p.done, Outcome{Job: e.ID, Handles: e.handles, Zone: e.mainZone(), Returned: e.Returned})
		}
	case r.Gone:
		p.fail(e, Outcome{Lost: true, Reason: "an input is gone"})
	default:
		p.again(ref, r.Failed)
	}
}

// again puts a piece back into the queue.
func (p *Planner) again(ref PieceRef, failed bool) {
	e := p.jobs[ref.Job.ID]
	if e == nil || e.handles[ref.Index] != "" || slices.Contains(e.waiting, ref.Index) {
		return
	}
	if p.underWay(e.ID, ref.Index) {
		return
	}
	if failed {
		if e.tries++; e.tries > maxTries*e.Pieces {
			p.fail(e, Outcome{Reason: "the pieces failed too often"})
			return
		}
	}
	e.waiting = append(e.waiting, ref.Index)
}

// underWay reports whether a piece is in a call that is not overdue.
func (p *Planner) underWay(id JobID, index int) bool {
	for call, w := range p.calls {
		f := w.calls[call]
		if f.overdue {
			continue
		}
		for _, ref := range f.Pieces {
			if ref.Job.ID == id && ref.Index == index {
				return true
			}
		}
	}
	return false
}

// Plan returns what to do now: calls to make, jobs that ended, results to give
// up, and when to look again at the latest.
func (p *Planner) Plan(now cicadapitch.Instant) ([]Call, []Outcome, []string, cicadapitch.Millis) {
	p.expire(now)
	p.hedge(now)
	p.makeRoom()
	var (
		calls []Call
		held  cicadapitch.Millis
	)
	order := p.order(now)
	for _, w := range p.freeWorkers(now) {
		refs, short := p.fill(now, w, order)
		if len(refs) == 0 {
			continue
		}
		if held = p.hold(now, refs); held > 0 && !short {
			p.putBack(refs)
			break
		}
		calls = append(calls, p.start(now, w, refs))
	}
	done, orphans := p.done, p.orphans
	p.done, p.orphans = nil, nil
	return calls, done, orphans, p.nextLook(held)
}

// nextLook returns when to plan again at the latest, given how long a call is
// held.
func (p *Planner) nextLook(held cicadapitch.Millis) cicadapitch.Millis {
	if held > 0 {
		return min(held, tick)
	}
	for _, w := range p.workers {
		if w.shortSince > 0 {
			return tick / 2
		}
	}
	return tick
}

// HandOver ends the jobs of which no piece has been in a call, so that another
// owner can take them.
func (p *Planner) HandOver() {
	for _, e := range p.jobs {
		if len(e.waiting) == e.Pieces && !e.StandIn {
			p.fail(e, Outcome{Moved: true, Reason: "the service has another owner"})
		}
	}
}

// Idle reports whether there is nothing to look at.
func (p *Planner) Idle() bool { return len(p.jobs) == 0 && len(p.calls) == 0 && len(p.results) == 0 }

// expire gives up the jobs that cannot be served in time any more and forgets
// results whose life is over.
func (p *Planner) expire(now cicadapitch.Instant) {
	rate, first := p.capacity(now)
	spare := max(rate-p.demand.all(now), leastSpare*rate)
	ahead := 0
	for _, e := range p.order(now) {
		ahead += len(e.waiting)
		end := now.Add(p.Expected(1))
		if spare > 0 && p.late(now, e) && ahead > p.spec.Size {
			end = end.Add(first + cicadapitch.Millis(float64(ahead)/spare))
		}
		if end > e.Expire {
			p.fail(e, Outcome{Reason: "the request's time does not suffice", RetryAfter: p.drain(now)})
		}
	}
	for h, r := range p.results {
		if now > r.expire {
			p.forget(h, r)
		}
	}
}

// hedge puts the pieces of overdue calls back into the queue: the endpoint is
// slow, or gone without a sign.
func (p *Planner) hedge(now cicadapitch.Instant) {
	for _, w := range p.workers {
		for _, f := range w.calls {
			took := now.Sub(f.started)
			limit := cicadapitch.Millis(float64(f.Expected)*slowFrom) + overdueSlack
			if f.overdue || took <= limit {
				continue
			}
			f.overdue = true
			w.slow, w.seen = max(w.slow, float64(took)/float64(f.Expected)), now
			for _, ref := range f.Pieces {
				e := p.jobs[ref.Job.ID]
				if e == nil || e.handles[ref.Index] != "" || slices.Contains(e.waiting, ref.Index) || p.underWay(e.ID, ref.Index) {
					continue
				}
				e.waiting = append(e.waiting, ref.Index)
			}
		}
	}
}

// Endpoint returns an endpoint that the planner knows.
func (p *Planner) Endpoint(id cicadapitch.EndpointID) (catalog.Endpoint, bool) {
	w := p.workers[id]
	if w == nil {
		return catalog.Endpoint{}, false
	}
	return w.Endpoint, true
}

// mainZone returns the zone that holds most results of the job.
func (e *entry) mainZone() cicadapitch.ZoneID {
	var main cicadapitch.ZoneID
	for z, n := range e.zones {
		if n > e.zones[main] || n == e.zones[main] && z < main {
			main = z
		}
	}
	return main
}
