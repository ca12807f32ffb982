package batch_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/catalog"
)

// Times of the replay of a chain of stages, as gateway has them.
const (
	// chainEngineTime is the time of the engine to the first event.
	chainEngineTime cicadapitch.Millis = 200
	// chainHandover is the time from the end of a stage to the submission of the next, and
	// chainHandoverEstimate what hosts reckon with.
	chainHandover, chainHandoverEstimate cicadapitch.Millis = 5, 40
	// chainReportInterval and chainReportDelay are how often and how late the waits of a
	// planner become known to the hosts.
	chainReportInterval, chainReportDelay cicadapitch.Millis = 250, 100
	// chainReturns is how often a caller that was refused comes again.
	chainReturns = 2
)

// chainKind is one kind of requests of the replay.
type chainKind struct {
	name               string
	priority           int
	objective, timeout cicadapitch.Millis
	perSecond          float64
	bursts             bool
	// pieces are the pieces by stage of a request of the usual size. One request of thirty has
	// four times as many.
	pieces [3]int
	// customers are the shares of the customers in the requests outside of the burst. In the burst only
	// the first one sends more.
	customers []float64
}

// chainLoad is the load of a replay.
type chainLoad struct {
	kinds              []chainKind
	specs              [3]catalog.BatchSpec
	endpoints          [3]int
	burstFactor        float64
	burstFrom, burstTo cicadapitch.Millis
	duration           cicadapitch.Millis
	// slowShare is the share of endpoints at half speed, noiseShare the share of the time in which an
	// endpoint takes noiseFactor times as long.
	slowShare, noiseShare, noiseFactor float64
	// namesPace makes the endpoints name how long work takes at the moment.
	namesPace bool
	// before makes the hosts and planners decide as before contention was known.
	before bool
	// hedgeEverything makes planners hedge as before.
	hedgeEverything bool
	// callersLeave is the share of callers that leave after a quarter of their objective.
	callersLeave float64
}

// chainTally counts the requests of one kind.
type chainTally struct {
	asked, inTime, late, refusedFirst, refusedLater, expired, left int
	worth                                                          float64
	// firstRefusals counts the first tries that were refused by size: usual and large.
	tries, refusals [2]int
	// returned and returnedServed count requests that came again, and those of them that were served.
	returned, returnedServed int
}

// chainResult is the result of a replay.
type chainResult struct {
	kinds map[string]*chainTally
	// work is the stage work in seconds of endpoints, wasted the part whose results were not used.
	work, wasted float64
	// unused is the unused work that the planners know of, in seconds by cause.
	unused    map[string]float64
	customers map[string]*chainTally
}

type chainRequest struct {
	kind               *chainKind
	customer           cicadapitch.CustomerID
	large              int
	pieces             [3]int
	arrived, submitted cicadapitch.Instant
	tries              int
	// work is the work done for the request that is not known to be used.
	work    float64
	handles []string
	madeAt  cicadapitch.Instant
	reruns  int
	leaves  cicadapitch.Instant
	ended   bool
	job     batch.JobID
	stage   int
}

type chainEvent struct {
	at  cicadapitch.Instant
	run func(now cicadapitch.Instant)
}

// chainSim replays a load on three stage services in a chain in steps of a millisecond.
type chainSim struct {
	load chainLoad
	// arrivals and returns are the sources of the arrivals and of the returns of callers. They are apart, so that
	// two replays of a load have the same arrivals.
	arrivals, returns *rand.Rand
	planners          [3]*batch.Planner
	requests          [3]map[batch.JobID]*chainRequest
	// changed is set for the planners that have to plan.
	changed [3]bool
	lastID  batch.JobID
	events  map[cicadapitch.Instant][]chainEvent
	// waits are the waits that hosts know, by stage and priority, the last for late work.
	waits  [3][5]cicadapitch.Millis
	result chainResult
	noise  map[string]cicadapitch.Instant
}

func replayChain(load chainLoad, seed uint64) chainResult {
	s := &chainSim{
		load: load, arrivals: rand.New(rand.NewPCG(seed, 7)), returns: rand.New(rand.NewPCG(seed, 8)), events: map[cicadapitch.Instant][]chainEvent{},
		result: chainResult{kinds: map[string]*chainTally{}, customers: map[string]*chainTally{}, unused: map[string]float64{}}, noise: map[string]cicadapitch.Instant{},
	}
	for i := range s.planners {
		s.planners[i] = batch.NewPlanner(load.specs[i])
		if load.before {
			s.planners[i].KeepOrderWithoutContention()
		}
		if load.before || load.hedgeEverything {
			s.planners[i].HedgeEverything()
		}
		s.requests[i] = map[batch.JobID]*chainRequest{}
		var list []catalog.Endpoint
		for e := range load.endpoints[i] {
			list = append(list, catalog.Endpoint{ID: cicadapitch.EndpointID(fmt.Sprintf("s%d-%02d", i, e)), Address: fmt.Sprintf("10.0.%d.%d:80", i, e), Zone: "z"})
		}
		s.planners[i].SetEndpoints(list)
	}
	for at := cicadapitch.Millis(0); at < load.duration+12*cicadapitch.Second; at++ {
		now := start.Add(at)
		if at < load.duration {
			s.arrive(now, at >= load.burstFrom && at < load.burstTo)
		}
		for _, e := range s.events[now] {
			e.run(now)
		}
		delete(s.events, now)
		if at%chainReportInterval == 0 {
			s.report(now)
		}
		for i := range s.planners {
			if s.changed[i] || at%10 == 0 {
				s.changed[i] = false
				s.plan(now, i)
			}
		}
	}
	return s.result
}

func (s *chainSim) after(now cicadapitch.Instant, d cicadapitch.Millis, run func(cicadapitch.Instant)) {
	at := now.Add(max(d, 1))
	s.events[at] = append(s.events[at], chainEvent{at, run})
}

// report sends the waits of the planners to the hosts.
func (s *chainSim) report(now cicadapitch.Instant) {
	var waits [3][5]cicadapitch.Millis
	for i, p := range s.planners {
		if p.Idle() {
			continue
		}
		for level := range 4 {
			waits[i][level] = p.EstimateWait(now, level)
		}
		waits[i][4] = p.EstimateLateWait(now)
	}
	s.after(now, chainReportDelay, func(cicadapitch.Instant) { s.waits = waits })
}

func (s *chainSim) arrive(now cicadapitch.Instant, burst bool) {
	for i := range s.load.kinds {
		k := &s.load.kinds[i]
		customers := k.customers
		if len(customers) == 0 {
			customers = []float64{1}
		}
		for c, share := range customers {
			rate := k.perSecond * share
			if burst && k.bursts && c == 0 {
				rate *= s.load.burstFactor
			}
			if s.arrivals.Float64() >= rate/1000 {
				continue
			}
			r := &chainRequest{kind: k, customer: cicadapitch.CustomerID(fmt.Sprintf("c%d", c)), pieces: k.pieces, arrived: now}
			if s.arrivals.IntN(30) == 0 {
				r.large = 1
				for j := range r.pieces {
					r.pieces[j] *= 4
				}
			}
			if s.arrivals.Float64() < s.load.callersLeave {
				r.leaves = now.Add(k.objective / 4)
				s.after(now, k.objective/4, func(cicadapitch.Instant) { s.leave(r) })
			}
			s.each(r, func(t *chainTally) { t.asked++ })
			s.try(now, r)
		}
	}
}

// each calls f with the tallies of a request's kind and customer.
func (s *chainSim) each(r *chainRequest, f func(*chainTally)) {
	for _, m := range []struct {
		tallies map[string]*chainTally
		key     string
	}{{s.result.kinds, r.kind.name}, {s.result.customers, string(r.customer)}} {
		if m.tallies[m.key] == nil {
			m.tallies[m.key] = &chainTally{}
		}
		f(m.tallies[m.key])
	}
}

// leave ends a request whose caller leaves.
func (s *chainSim) leave(r *chainRequest) {
	if r.ended {
		return
	}
	r.ended = true
	s.planners[r.stage].Cancel(r.job)
	delete(s.requests[r.stage], r.job)
	s.each(r, func(t *chainTally) { t.left++ })
	s.waste(r)
}

func (s *chainSim) waste(r *chainRequest) {
	s.result.wasted += r.work / 1000
	r.work = 0
}

func (s *chainSim) try(now cicadapitch.Instant, r *chainRequest) {
	r.tries++
	r.submitted, r.handles, r.reruns = now, nil, 0
	s.each(r, func(t *chainTally) { t.tries[r.large]++ })
	s.submit(now, r, s.next(r, -1))
}

// next returns the stage after a stage that has pieces, or 3.
func (s *chainSim) next(r *chainRequest, stage int) int {
	for stage++; stage < 3 && r.pieces[stage] == 0; stage++ {
	}
	return stage
}

// downstream is proxiedRequest.downstreamTime.
func (s *chainSim) downstream(r *chainRequest, stage int, level int) cicadapitch.Millis {
	sum := cicadapitch.Millis(0)
	for j := s.next(r, stage); j < 3; j = s.next(r, j) {
		sum += s.stageTime(j, level)
	}
	return sum
}

// downstreamWork is downstream without the waits.
func (s *chainSim) downstreamWork(r *chainRequest, stage int) cicadapitch.Millis {
	sum := s.downstream(r, stage, r.kind.priority)
	for j := s.next(r, stage); j < 3; j = s.next(r, j) {
		sum -= s.waits[j][r.kind.priority]
	}
	return sum
}

func (s *chainSim) stageTime(stage, level int) cicadapitch.Millis {
	spec := s.load.specs[stage]
	return spec.CallTime + cicadapitch.Millis(spec.PieceTime*float64(spec.MaxPieces)/2) + chainHandoverEstimate + s.waits[stage][level]
}

func (s *chainSim) abandonAt(r *chainRequest) cicadapitch.Instant {
	return min(r.arrived.Add(r.kind.timeout-30), r.submitted.Add(max(2000, 4*r.kind.objective)))
}

func (s *chainSim) submit(now cicadapitch.Instant, r *chainRequest, stage int) {
	s.lastID++
	r.job, r.stage = s.lastID, stage
	s.requests[stage][r.job] = r
	downstream := s.downstream(r, stage, r.kind.priority)
	late, due := downstream, r.submitted.Add(r.kind.objective)
	if end := now.Add(s.stageTime(stage, r.kind.priority) + downstream + chainEngineTime); end > due {
		late = 2*downstream - s.downstreamWork(r, stage) // as gateway's lateWaitFactor
		if s.load.before || end > due.Add(batch.Grace(due, s.abandonAt(r))) {
			late = s.downstream(r, stage, 4)
		}
	}
	j := batch.Job{
		ID: r.job, Request: cicadapitch.RequestID(fmt.Sprint(r.job)), Stage: stage, Pieces: r.pieces[stage], ResultBytes: 8000, Zone: "z",
		Priority: r.kind.priority, Retried: r.tries > 1, Customer: r.customer,
		DueAt: due - cicadapitch.Instant(downstream+chainEngineTime), ExpiresAt: s.abandonAt(r) - cicadapitch.Instant(late+chainEngineTime),
	}
	if len(r.handles) > 0 {
		j.Inputs = r.handles
	}
	s.planners[stage].Submit(now, j)
	s.changed[stage] = true
}

func (s *chainSim) plan(now cicadapitch.Instant, stage int) {
	calls, outcomes, toFree, _ := s.planners[stage].Plan(now)
	for cause, work := range s.planners[stage].TakeWaste() {
		s.result.unused[cause.String()] += work / 1000
	}
	s.planners[stage].RecordFreed(toFree)
	for _, c := range calls {
		s.call(now, stage, c)
	}
	slices.SortFunc(outcomes, func(a, b batch.Outcome) int { return cmp.Compare(a.Job, b.Job) })
	for _, o := range outcomes {
		r := s.requests[stage][o.Job]
		delete(s.requests[stage], o.Job)
		if r == nil || r.ended {
			s.planners[stage].RecordFreed(o.Handles)
			continue
		}
		s.outcome(now, r, stage, o)
	}
}

func (s *chainSim) call(now cicadapitch.Instant, stage int, c batch.Call) {
	spec := s.load.specs[stage]
	took := float64(spec.CallTime) + spec.PieceTime*float64(len(c.Pieces))
	index := 0
	fmt.Sscanf(string(c.Endpoint.ID)[3:], "%d", &index)
	speed := 1.0
	if float64(index) < s.load.slowShare*float64(s.load.endpoints[stage]) {
		speed = 2
	}
	noise := 1.0
	if s.load.noiseShare > 0 {
		// A spell of noise lasts about 300 ms, so that it falls on a whole call.
		h := rand.New(rand.NewPCG(uint64(now)/300, uint64(stage*1000+index)))
		if h.Float64() < s.load.noiseShare {
			noise = s.load.noiseFactor
		}
	}
	took *= speed * noise
	for _, ref := range c.Pieces {
		if r := s.requests[stage][ref.Job.ID]; r != nil {
			r.work += took / float64(len(c.Pieces))
		} else {
			s.result.wasted += took / float64(len(c.Pieces)) / 1000
		}
	}
	s.result.work += took / 1000
	s.after(now, cicadapitch.Millis(took), func(end cicadapitch.Instant) {
		results := resultsOf(c)
		for i, ref := range c.Pieces {
			if r := s.requests[stage][ref.Job.ID]; r != nil && len(ref.Job.Inputs) > 0 && now.Sub(r.madeAt) > spec.ResultTTL {
				results[i] = batch.PieceResult{InputLost: true}
			}
		}
		s.changed[stage] = true
		if s.load.namesPace {
			s.planners[stage].RecordPace(end, c.Endpoint.ID, speed*noise)
		}
		s.planners[stage].FinishCall(end, c.ID, results, batch.NoFailure)
	})
}

func (s *chainSim) outcome(now cicadapitch.Instant, r *chainRequest, stage int, o batch.Outcome) {
	switch {
	case o.InputLost && r.reruns == 0:
		r.reruns++
		s.waste(r)
		r.handles = nil
		s.after(now, chainHandover, func(at cicadapitch.Instant) { s.submitUnlessEnded(at, r, s.next(r, -1)) })
	case o.Handles == nil:
		s.refuse(now, r, stage, o.RetryAfter)
	default:
		if stage > 0 {
			s.planners[stage].RecordFetched(r.handles)
		}
		s.planners[stage].RecordFreed(o.Handles)
		r.handles, r.madeAt = o.Handles, now
		next := s.next(r, stage)
		if next < 3 {
			s.after(now, chainHandover, func(at cicadapitch.Instant) { s.submitUnlessEnded(at, r, next) })
			return
		}
		s.after(now, chainEngineTime, func(at cicadapitch.Instant) { s.answer(at, r) })
	}
}

func (s *chainSim) submitUnlessEnded(now cicadapitch.Instant, r *chainRequest, stage int) {
	if !r.ended {
		s.submit(now, r, stage)
	}
}

func (s *chainSim) refuse(now cicadapitch.Instant, r *chainRequest, stage int, retryAfter cicadapitch.Millis) {
	s.waste(r)
	if now.Sub(r.submitted) == 0 {
		s.each(r, func(t *chainTally) { t.refusals[r.large]++ })
	}
	wait := cicadapitch.Millis(float64(max(retryAfter, 250)) * (0.8 + 0.4*s.returns.Float64()))
	if r.tries <= chainReturns && now.Add(wait).Sub(r.arrived) < r.kind.timeout {
		if r.tries == 1 {
			s.each(r, func(t *chainTally) { t.returned++ })
		}
		s.after(now, wait, func(at cicadapitch.Instant) {
			if !r.ended {
				s.try(at, r)
			}
		})
		return
	}
	r.ended = true
	s.each(r, func(t *chainTally) {
		if stage == s.next(r, -1) {
			t.refusedFirst++
		} else {
			t.refusedLater++
		}
	})
}

func (s *chainSim) answer(now cicadapitch.Instant, r *chainRequest) {
	if r.ended {
		return
	}
	r.ended = true
	took := now.Sub(r.arrived)
	s.each(r, func(t *chainTally) {
		if r.tries > 1 {
			t.returnedServed++
		}
		switch {
		case took <= r.kind.objective:
			t.inTime++
			t.worth++
		case took <= r.kind.timeout:
			t.late++
			// A late answer loses its worth evenly until it is twice as late as the objective.
			t.worth += max(0, 1-float64(took-r.kind.objective)/float64(r.kind.objective))
		default:
			t.expired++
		}
	})
	r.work = 0
}

func (t *chainTally) String() string {
	n := float64(max(t.asked, 1))
	return fmt.Sprintf("%d asked, worth %.3f, in time %.3f, late %.3f, refused first %.3f, refused later %.3f, too late %.3f, left %.3f, tries refused on arrival %.3f (large %.3f), returned %d of which served %d",
		t.asked, t.worth/n, float64(t.inTime)/n, float64(t.late)/n, float64(t.refusedFirst)/n, float64(t.refusedLater)/n, float64(t.expired)/n, float64(t.left)/n,
		float64(t.refusals[0])/float64(max(t.tries[0], 1)), float64(t.refusals[1])/float64(max(t.tries[1], 1)), t.returned, t.returnedServed)
}

// add adds the tallies of another replay.
func (r *chainResult) add(o chainResult) {
	r.work += o.work
	r.wasted += o.wasted
	if r.unused == nil {
		r.unused = map[string]float64{}
	}
	for cause, work := range o.unused {
		r.unused[cause] += work
	}
	if r.kinds == nil {
		r.kinds, r.customers = map[string]*chainTally{}, map[string]*chainTally{}
	}
	for _, m := range []struct{ to, from map[string]*chainTally }{{r.kinds, o.kinds}, {r.customers, o.customers}} {
		for k, t := range m.from {
			if m.to[k] == nil {
				m.to[k] = &chainTally{}
			}
			m.to[k].add(t)
		}
	}
}

func (t *chainTally) add(o *chainTally) {
	t.asked += o.asked
	t.inTime += o.inTime
	t.late += o.late
	t.refusedFirst += o.refusedFirst
	t.refusedLater += o.refusedLater
	t.expired += o.expired
	t.left += o.left
	t.worth += o.worth
	t.returned += o.returned
	t.returnedServed += o.returnedServed
	for i := range t.tries {
		t.tries[i] += o.tries[i]
		t.refusals[i] += o.refusals[i]
	}
}

// worth returns the worth of all requests.
func (r chainResult) worth() float64 {
	sum := 0.0
	for _, t := range r.kinds {
		sum += t.worth
	}
	return sum
}

// worthShare returns the worth of a request on average.
func (t *chainTally) worthShare() float64 { return t.worth / float64(max(t.asked, 1)) }

// servedShare returns the share of the requests that were answered.
func (t *chainTally) servedShare() float64 {
	return float64(t.inTime+t.late) / float64(max(t.asked, 1))
}

// refusedOnArrival returns the shares of tries that were refused on arrival, of requests of the usual size and of large ones.
func (t *chainTally) refusedOnArrival() (usual, large float64) {
	return float64(t.refusals[0]) / float64(max(t.tries[0], 1)), float64(t.refusals[1]) / float64(max(t.tries[1], 1))
}

// String returns the tallies, one a line.
func (r chainResult) String() string {
	out := fmt.Sprintf("work %.0f s, wasted %.1f s, of it known to the planners %v", r.work, r.wasted, lo.MapValues(r.unused, func(v float64, _ string) int { return int(v) }))
	for _, m := range []map[string]*chainTally{r.kinds, r.customers} {
		keys := make([]string, 0, len(m))
		for k := range m {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		if len(m) == 1 && len(r.customers) == 1 && keys[0] == "c0" {
			continue
		}
		for _, k := range keys {
			out += fmt.Sprintf("\n%s: %s", k, m[k])
		}
	}
	return out
}

// chainSpecs are the stage services of the deployment on which the loss was seen.
func chainSpecs() [3]catalog.BatchSpec {
	out := [3]catalog.BatchSpec{}
	for i, m := range []struct {
		most  int
		piece float64
	}{{14, 15}, {34, 6}, {42, 5}} {
		out[i] = catalog.BatchSpec{Slots: 1, MaxQueuedCalls: 2, MaxPieces: m.most, CallTime: 240, PieceTime: m.piece, ResultCapacity: 9_600_000, ResultTTL: 4000}
	}
	return out
}
