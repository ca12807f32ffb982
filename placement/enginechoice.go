package placement

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

const (
	// nominalPrefillSpeed is the number of prompt tokens that an engine prefills in a millisecond.
	// Engines manage 60 to 75.
	nominalPrefillSpeed = 65.0
	// nominalFirstEvent is the time in milliseconds to the first event of a request without a prompt at
	// an idle engine: the way there and back and a decode step.
	nominalFirstEvent = 10.0
	// nominalStep is the time of a decode step, in milliseconds. Engines take 3 to 5.
	nominalStep = 4.0
	// decodeShare is how much longer a prompt takes at an engine whose slots are all taken than at an
	// idle one: prompts are prefilled between the tokens of the other requests. It also stands for
	// the delay that a prompt means for those.
	decodeShare = 1.0
	// homeCached is the assumed probability that the first engine in a session's rendezvous order has
	// its prefix cached while this host has not sent it there: other hosts have.
	homeCached = 0.95
	// refillTime is how long after its restart an engine is not assumed to have what other hosts sent
	// there. In that time each of its sessions is likely to have had a request.
	refillTime = 3 * cicadapitch.Second
	// refillWeight is the weight of the time of prefilling again what another engine has cached. That
	// time is also taken from the requests that come later.
	refillWeight = 2.5
	// keepMillis and keepShare say by how much the predicted time at an engine may exceed the
	// shortest one for it to get the requests of the sessions that come to it: some
	// milliseconds, which callers do not notice, and a share of the shortest time.
	keepMillis = 20.0
	keepShare  = 0.25
	// zoneMillis and zoneShare are the same for engines of the zone in which the inputs are.
	zoneMillis = 50.0
	zoneShare  = 0.5
	// defaultSlots is assumed where neither the engine nor its configuration names slots. Engines have 32
	// to 128.
	defaultSlots = 64
	// defaultOutputTokens is the expected output of a request before any was measured.
	defaultOutputTokens = 150
)

// engineState is what this host knows of an engine beside its health.
type engineState struct {
	// started is the start of the process that the rest is about.
	started int64
	// restartedAt is when another process took the place of the one before, or 0 if this host has not seen
	// that.
	restartedAt cicadapitch.Instant
	// health is the engine's, which outlasts its process.
	health *Health
	// work is this host's outstanding work.
	work   EngineWork
	cached cachedParts
	pace   pace
}

// Prediction is the expected time to the first event of a request at an engine, with its inputs.
type Prediction struct {
	// Known is false if the engine was chosen by the number of calls.
	Known bool
	// FirstEvent is the predicted time in milliseconds.
	FirstEvent float64
	// Uncached is the expected number of prompt tokens that the engine has not cached.
	Uncached cicadapitch.Tokens
	// Age is the age of the other hosts' reports.
	Age cicadapitch.Millis
	// nominal is the time in milliseconds at a nominal engine.
	nominal float64
	// fixed is the part of FirstEvent that does not depend on the engine.
	fixed float64
	// cost is what the choice compares, in milliseconds.
	cost float64
}

// Run is a call of this host at an engine, for which work is outstanding.
type Run struct {
	endpoint   cicadapitch.EndpointID
	started    int64
	work       EngineWork
	prediction Prediction
	route      string
	// added holds the parts that the engine got with the call.
	added []partKey
	// answered is true after the first event.
	answered bool
}

// Prediction returns the prediction with which the engine was chosen.
func (r *Run) Prediction() Prediction { return r.prediction }

// engine returns the state of an engine. It begins anew if the engine's process is another one.
func (c *Chooser) engine(now cicadapitch.Instant, e *fleet.Endpoint) *engineState {
	s := c.engines[e.ID]
	if s == nil {
		s = &engineState{started: e.Started, health: c.Health(e.ID)}
		c.engines[e.ID] = s
	}
	if s.started != e.Started {
		*s = engineState{started: e.Started, restartedAt: now, health: s.health}
	}
	return s
}

// fixedTime returns the fixed time of a route.
func (c *Chooser) fixedTime(route string) *fixedTime {
	f := c.fixed[route]
	if f == nil {
		f = &fixedTime{}
		c.fixed[route] = f
	}
	return f
}

// chooseByWork chooses the first engine in the session's rendezvous order whose predicted cost exceeds
// the lowest one by little. Sessions that leave an engine at the same time go to different ones, each to
// the next in its own order, also where many hosts see the same old reports.
func (c *Chooser) chooseByWork(now cicadapitch.Instant, usable []fleet.Endpoint, criteria Criteria) (fleet.Endpoint, Prediction) {
	c.predictAll(now, usable, &criteria)
	best, bestInZone := -1, -1
	for i := range usable {
		if best < 0 || c.predictions[i].cost < c.predictions[best].cost {
			best = i
		}
		if usable[i].Zone == criteria.Zone && (bestInZone < 0 || c.predictions[i].cost < c.predictions[bestInZone].cost) {
			bestInZone = i
		}
	}
	inZone := false
	if bestInZone >= 0 && c.predictions[bestInZone].cost <= c.predictions[best].cost*(1+zoneShare)+zoneMillis {
		best, inZone = bestInZone, true
	}
	lowest := c.predictions[best].cost
	bound := lowest + keepMillis + keepShare*lowest
	for i := range usable {
		if (!inZone || usable[i].Zone == criteria.Zone) && c.predictions[i].cost <= bound && c.scores[i] > c.scores[best] {
			best = i
		}
	}
	return usable[best], c.predictions[best]
}

// predictAll sets parts, scores and predictions for a choice among engines.
func (c *Chooser) predictAll(now cicadapitch.Instant, usable []fleet.Endpoint, criteria *Criteria) {
	c.parts.set(criteria.Prompt, cacheCapacity(criteria))
	key := criteria.Session
	if key == "" {
		key = criteria.Request
	}
	c.scores = fleet.Scores(c.scores[:0], key, usable, func(e fleet.Endpoint) string { return string(e.ID) })
	home := -1
	for i := range usable {
		if criteria.Session != "" && (home < 0 || c.scores[i] > c.scores[home]) {
			home = i
		}
	}
	c.fixedMillis = c.fixedTime(criteria.Route).millis
	c.predictions = c.predictions[:0]
	usual := c.pace.ratio(now, 1)
	mostCached := 0.0
	for i := range usable {
		p := c.predict(now, &usable[i], criteria, i == home, usual)
		mostCached = max(mostCached, float64(c.parts.shared+c.parts.own-p.Uncached))
		c.predictions = append(c.predictions, p)
	}
	for i := range c.predictions {
		p := &c.predictions[i]
		refill := mostCached - float64(c.parts.shared+c.parts.own-p.Uncached)
		p.cost = p.FirstEvent - p.fixed + (refillWeight-1)*refill/nominalPrefillSpeed*usual
	}
}

// predict predicts the time to the first event at an engine. home is true for the first engine in the
// session's rendezvous order. usual is the pace of all engines.
func (c *Chooser) predict(now cicadapitch.Instant, e *fleet.Endpoint, criteria *Criteria, home bool, usual float64) Prediction {
	s := c.engine(now, e)
	cached := s.cached.prefix(now, &c.parts)
	if refilled := s.restartedAt == 0 || now.Sub(s.restartedAt) >= refillTime; home && refilled {
		cached = max(cached, cicadapitch.Tokens(homeCached*float64(c.parts.shared)))
	}
	uncached := c.parts.shared + c.parts.own - cached
	reported := criteria.OtherWork[e.ID]
	work := s.work.plus(reported.EngineWork)
	if reported.UnknownCalls > 0 {
		work = work.plus(c.meanWork.times(reported.UnknownCalls, 1))
	}
	running := float64(s.health.Running + reported.Calls)
	slots := float64(slotsOf(e, criteria))
	perToken := (1 + decodeShare*min(running/slots, 1)) / nominalPrefillSpeed
	// While the engine fetches the inputs of this request, it prefills what came before.
	nominal := nominalFirstEvent + perToken*float64(uncached) + max(perToken*float64(work.Prefill)-c.fixedMillis, 0)
	nominal += queueTime(work, running, slots, float64(uncached+criteria.output()), float64(cacheCapacity(criteria)))
	return Prediction{
		Known: true, FirstEvent: c.fixedMillis + nominal*s.pace.ratio(now, usual), Uncached: uncached, Age: criteria.ReportAge,
		nominal: nominal, fixed: c.fixedMillis,
	}
}

// queueTime returns how long a request that takes need tokens of memory waits for a slot and for memory at an
// engine, in milliseconds at a nominal engine.
func queueTime(work EngineWork, running, slots, need, capacity float64) float64 {
	if running < 1 {
		return 0
	}
	// A request of average length ends after serviceTime; in that time all that run now end.
	serviceTime := float64(work.Output) / running * nominalStep
	wait := max(running+1-slots, 0) / slots
	if held := float64(work.Held); held+need > capacity && held > 0 {
		wait = max(wait, (held+need-capacity)/held)
	}
	return wait * serviceTime
}

// slotsOf returns how many requests an engine runs at once.
func slotsOf(e *fleet.Endpoint, criteria *Criteria) int {
	switch spec := criteria.Service.Engine; {
	case e.Slots > 0:
		return e.Slots
	case spec != nil && spec.Slots > 0:
		return spec.Slots
	}
	return defaultSlots
}

// cacheCapacity returns the tokens that the memory of an engine holds.
func cacheCapacity(criteria *Criteria) cicadapitch.Tokens {
	if s := criteria.Service.Engine; s != nil && s.KVCapacityTokens > 0 {
		return s.KVCapacityTokens
	}
	return defaultCacheTokens
}

// output returns the expected output tokens of the request.
func (criteria *Criteria) output() cicadapitch.Tokens {
	if criteria.Output > 0 {
		return criteria.Output
	}
	return defaultOutputTokens
}

// meanWorkWeight is the weight of the newest request in the mean work of a request, as its reciprocal.
const meanWorkWeight = 20

// RecordRun is RecordStart for an engine that was chosen with a prediction. The call ends with EndRun.
func (c *Chooser) RecordRun(now cicadapitch.Instant, e fleet.Endpoint, criteria Criteria, p Prediction) *Run {
	c.RecordStart(e.ID)
	if !p.Known {
		return &Run{endpoint: e.ID, answered: true}
	}
	s := c.engine(now, &e)
	c.parts.set(criteria.Prompt, cacheCapacity(&criteria))
	r := &Run{
		endpoint: e.ID, started: e.Started, prediction: p, route: criteria.Route,
		work: EngineWork{Prefill: p.Uncached, Output: criteria.output(), Held: p.Uncached + criteria.output()},
	}
	s.work = s.work.plus(r.work)
	r.added = s.cached.record(now, &c.parts, cacheCapacity(&criteria))
	if c.meanWork == (EngineWork{}) {
		c.meanWork = r.work
	}
	c.meanWork = c.meanWork.times(meanWorkWeight-1, meanWorkWeight).plus(r.work.times(1, meanWorkWeight))
	return r
}

// RecordFirstEvent records that the first event of a call came after took: its prompt is prefilled.
func (c *Chooser) RecordFirstEvent(now cicadapitch.Instant, r *Run, took cicadapitch.Millis) {
	if r.answered {
		return
	}
	r.answered = true
	prefilled := EngineWork{Prefill: r.work.Prefill}
	r.work.Prefill = 0
	s := c.engines[r.endpoint]
	if s == nil || s.started != r.started {
		return
	}
	s.work = s.work.minus(prefilled)
	p := r.prediction
	s.pace.record(now, float64(took)-p.fixed, p.nominal)
	c.pace.record(now, float64(took)-p.fixed, p.nominal)
	c.fixedTime(r.route).record(float64(took) - p.nominal)
}

// EndRun is RecordEnd for a call that RecordRun began. What the engine got with a call
// without a first event is assumed not to be cached.
func (c *Chooser) EndRun(r *Run) {
	c.RecordEnd(r.endpoint)
	s := c.engines[r.endpoint]
	if s == nil || s.started != r.started {
		return
	}
	s.work = s.work.minus(r.work)
	if !r.answered {
		for _, key := range r.added {
			s.cached.remove(key)
		}
	}
}

// Work returns this host's outstanding work by engine. Engines without any are left out.
func (c *Chooser) Work() map[cicadapitch.EndpointID]EngineWork {
	out := map[cicadapitch.EndpointID]EngineWork{}
	for id, s := range c.engines {
		if s.work != (EngineWork{}) {
			out[id] = s.work.bounded()
		}
	}
	return out
}
