package batch

import (
	"cmp"
	"fmt"
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
	tightRoom = 0.4
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
	fairCall                    = 0.4
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

type result struct {
	endpoint cicadapitch.EndpointID
	bytes    cicadapitch.Bytes
	expire   cicadapitch.Instant
	// fetched results were read by their user.
	fetched bool
}

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
		j.Expire = min(j.Expire, now.Add(cicadapitch.Millis(lifeUse*float64(p.spec.ResultLife))))
	}
	if p.since == 0 {
		p.since = now
	}
	e := &entry{Job: j, handles: make([]string, j.Pieces), left: j.Pieces, arrived: now, zones: map[cicadapitch.ZoneID]int{}}
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
	return max(min(size, turnover*float64(p.spec.ResultRoom)/p.pieceBytes), 1)
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
		p.settle(now, w, f, ref, results[i])
	}
	if slices.ContainsFunc(results, func(r PieceResult) bool { return r.NoRoom }) {
		p.fullOfOthers(now, w, id)
	}
}

// fullOfOthers takes that an endpoint has less room than was thought: it holds
// results of an earlier owner, or of calls that broke.
func (p *Planner) fullOfOthers(now cicadapitch.Instant, w *worker, id CallID) {
	w.until = now.Add(roomPause)
	unknown := p.spec.ResultRoom - w.used
	if unknown <= 0 {
		return
	}
	w.used += unknown
	p.results[fmt.Sprintf("others/%d", id)] = result{endpoint: w.ID, bytes: unknown, expire: now.Add(othersLife)}
}

// unsettled releases the room of a piece without a result. An endpoint may go on
// with a call that broke, so its room stays taken for a result's life.
func (p *Planner) unsettled(now cicadapitch.Instant, w *worker, f *flight, i int, failure Failure) {
	bytes := f.Pieces[i].Job.ResultBytes
	if failure == Full {
		w.used -= bytes
		return
	}
	name := fmt.Sprintf("unknown/%d/%d", f.ID, i)
	p.results[name] = result{endpoint: w.ID, bytes: bytes, expire: now.Add(p.spec.ResultLife)}
}

func (p *Planner) settle(now cicadapitch.Instant, w *worker, f *flight, ref PieceRef, r PieceResult) {
	if r.Handle == "" {
		w.used -= ref.Job.ResultBytes
	} else {
		p.results[r.Handle] = result{endpoint: w.ID, bytes: ref.Job.ResultBytes, expire: now.Add(p.spec.ResultLife)}
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

// Locate returns results by the endpoint that holds them, and those that this
// owner did not order.
func (p *Planner) Locate(handles []string) (map[cicadapitch.EndpointID][]string, []string) {
	out := map[cicadapitch.EndpointID][]string{}
	var unknown []string
	for _, h := range handles {
		if r, ok := p.results[h]; !ok {
			unknown = append(unknown, h)
		} else if p.workers[r.endpoint] != nil {
			out[r.endpoint] = append(out[r.endpoint], h)
		}
	}
	return out, unknown
}

// Fetched takes that results were read by their user. They are given up where
// their endpoint runs out of room, and kept for a repeat otherwise.
func (p *Planner) Fetched(handles []string) {
	for _, h := range handles {
		if r, ok := p.results[h]; ok {
			r.fetched = true
			p.results[h] = r
		}
	}
}

// FetchedBy returns the inputs that a call has fetched, by the shard that
// holds them. Inputs of jobs with pieces elsewhere or still waiting are left out,
// and those of calls at slow endpoints, which may have to be repeated.
func (p *Planner) FetchedBy(id CallID) map[Shard][]string {
	w := p.calls[id]
	if w == nil || w.slow >= slowFrom {
		return nil
	}
	f := w.calls[id]
	pieces := map[JobID]int{}
	for _, ref := range f.Pieces {
		pieces[ref.Job.ID]++
	}
	out := map[Shard][]string{}
	for _, ref := range f.Pieces {
		j := ref.Job
		if pieces[j.ID] == j.Pieces && len(j.InputShards) == 1 {
			out[j.InputShards[0]] = append(out[j.InputShards[0]], j.Inputs...)
			pieces[j.ID] = 0
		}
	}
	return out
}

// makeRoom lists fetched results at endpoints that run out of room.
func (p *Planner) makeRoom() {
	for h, r := range p.results {
		w := p.workers[r.endpoint]
		if r.fetched && w != nil && float64(w.used) >= tightRoom*float64(p.spec.ResultRoom) {
			p.orphans = append(p.orphans, h)
			r.fetched = false
			p.results[h] = r
		}
	}
}

// Freed takes that an endpoint has given up results.
func (p *Planner) Freed(handles []string) {
	for _, h := range handles {
		r, ok := p.results[h]
		if !ok {
			continue
		}
		delete(p.results, h)
		if w := p.workers[r.endpoint]; w != nil {
			w.used -= r.bytes
		}
	}
}

// Plan returns what to do now: calls to make, jobs that ended, results to give
// up, and when to look again at the latest.
func (p *Planner) Plan(now cicadapitch.Instant) ([]Call, []Outcome, []string, cicadapitch.Millis) {
	p.expire(now)
	p.hedge(now)
	p.makeRoom()
	var calls []Call
	order := p.order(now)
	for _, w := range p.freeWorkers(now) {
		refs := p.fill(now, w, order)
		if len(refs) == 0 {
			continue
		}
		calls = append(calls, p.start(now, w, refs))
	}
	done, orphans := p.done, p.orphans
	p.done, p.orphans = nil, nil
	return calls, done, orphans, p.nextLook()
}

// nextLook returns when to plan again at the latest.
func (p *Planner) nextLook() cicadapitch.Millis {
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
			delete(p.results, h)
			if w := p.workers[r.endpoint]; w != nil {
				w.used -= r.bytes
			}
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

// fill chooses pieces for one call.
func (p *Planner) fill(now cicadapitch.Instant, w *worker, order []*entry) []PieceRef {
	var refs []PieceRef
	short := false
	room := cicadapitch.Bytes(roomUse*float64(p.spec.ResultRoom)) - w.used
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
		return nil
	}
	return refs
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
	c := Call{ID: p.next, Endpoint: w.Endpoint, Pieces: refs, Expected: p.Expected(len(refs)), Queued: p.queued(), RoomUsed: w.used}
	for _, ref := range refs {
		w.used += ref.Job.ResultBytes
	}
	w.calls[c.ID] = &flight{Call: c, started: now}
	w.slow, w.seen = w.slowness(now), now
	p.calls[c.ID] = w
	return c
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
