package bench

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// Case is a load profile with the events, such as failures, that happen during
// it.
type Case struct {
	Name  string
	Fleet Fleet
	// Load is the offered load as a fraction of the capacity of the fleet with
	// all endpoints warm.
	Load float64
	// Duration is the length of the measurement.
	Duration cicadapitch.Millis
	// RateFactor returns the factor on a customer's load at a time since the
	// start of the measurement. Nil means 1.
	RateFactor func(customer int, since cicadapitch.Millis) float64
	// scheduleEvents schedules the events of the case. It is called when the
	// measurement starts.
	scheduleEvents func(*sim)
}

// Start and end of the zone outage in the case "zone out", in seconds since the
// start of the measurement.
const (
	ZoneOutSeconds    = 10
	ZoneReturnSeconds = 30
)

// Cases returns the standard cases for a fleet.
func Cases(f Fleet) []Case {
	return []Case{
		{Name: "steady", Fleet: f, Load: 0.8, Duration: 30 * cicadapitch.Second},
		{Name: "burst", Fleet: f, Load: 0.5, Duration: 40 * cicadapitch.Second, RateFactor: burst},
		{Name: "slow endpoint", Fleet: f, Load: 0.7, Duration: 30 * cicadapitch.Second, scheduleEvents: slowEndpoint},
		{Name: "cold again", Fleet: f, Load: 0.6, Duration: 40 * cicadapitch.Second, scheduleEvents: unannouncedColdStarts},
		{Name: "zone out", Fleet: f, Load: 0.55, Duration: 50 * cicadapitch.Second, scheduleEvents: zoneOutAndBack},
		{Name: "flood", Fleet: f, Load: 0.6, Duration: 40 * cicadapitch.Second, RateFactor: flood},
		{Name: "engine dies", Fleet: f, Load: 0.6, Duration: 40 * cicadapitch.Second, scheduleEvents: engineDies},
		{Name: "model loads", Fleet: f, Load: 0.5, Duration: 110 * cicadapitch.Second, scheduleEvents: modelLoads},
	}
}

// StoreDownCase returns the case in which the store is down for the first ten
// minutes. An entry host dies after 10 s, and its shards stay without an owner
// until the store is up again and they can be claimed.
func StoreDownCase(f Fleet) Case {
	return Case{Name: "store down", Fleet: f, Load: 0.4, Duration: 11 * cicadapitch.Minute, scheduleEvents: func(s *sim) {
		s.after(10*cicadapitch.Second, func() { s.killHost(s.hosts[0]) })
		s.after(10*cicadapitch.Minute, s.claimShards)
	}}
}

// FullSizeSteadyCase returns a short steady case for the fleet FullSize.
func FullSizeSteadyCase() Case {
	return Case{Name: "steady", Fleet: FullSize(), Load: 0.8, Duration: 5 * cicadapitch.Second}
}

// burst triples the load of all customers from second 10 to second 25.
func burst(_ int, since cicadapitch.Millis) float64 {
	if since >= 10*cicadapitch.Second && since < 25*cicadapitch.Second {
		return 3
	}
	return 1
}

// flood multiplies the load of one customer by eight from second 5.
func flood(customer int, since cicadapitch.Millis) float64 {
	if customer == 0 && since >= 5*cicadapitch.Second {
		return 8
	}
	return 1
}

// slowEndpoint makes one language-model endpoint four times slower from second
// 5.
func slowEndpoint(s *sim) {
	ids := s.endpoints(languageModelPool)
	s.after(5*cicadapitch.Second, func() { s.fakeEndpoints[ids[0]].slowdown = 4 })
}

// unannouncedColdStarts puts one endpoint after another into a cold start, six
// at most. Every second one does not report that it is cold.
func unannouncedColdStarts(s *sim) {
	for i, id := range s.endpoints(languageModelPool) {
		if i >= 6 {
			return
		}
		s.after(cicadapitch.Millis(i+1)*5*cicadapitch.Second, func() {
			s.fakeEndpoints[id].hidesCold = i%2 == 1
			s.fakeEndpoints[id].makeCold(s.now)
		})
	}
}

// zoneOutAndBack takes a zone out of service and returns it later with all its
// endpoints cold.
func zoneOutAndBack(s *sim) {
	set := func(out bool) func() {
		return func() {
			s.configure(func(cfg *cicadapitch.Configuration) { cfg.Zones[0].Out = out })
			if out {
				return
			}
			for _, e := range s.cfg.Endpoints {
				if e.Zone == s.cfg.Zones[0].ID {
					s.fakeEndpoints[e.ID].makeCold(s.now)
				}
			}
		}
	}
	s.after(ZoneOutSeconds*cicadapitch.Second, set(true))
	s.after(ZoneReturnSeconds*cicadapitch.Second, set(false))
}

const (
	// modelLoadInterval is the interval at which the weight store starts model
	// loads, modelLoadDuration the time that an engine takes to load a model.
	modelLoadInterval = 10 * cicadapitch.Second
	modelLoadDuration = 4 * cicadapitch.Second
)

// modelLoads makes one engine after another load a version, each as soon as its
// shard has enough free slots for the work of a whole engine. As in package
// rollout, the engine is paused first and takes work again from a cold start.
func modelLoads(s *sim) {
	waiting := s.endpoints(languageModelPool)
	s.every(modelLoadInterval, func() {
		for i, id := range waiting {
			o := s.ownerOf(id)
			load := o.state.Load(s.now)
			if o.loading || load.Queued > 0 || int(load.Free)*len(o.shard.Endpoints) < int(load.Total) {
				continue
			}
			waiting = slices.Delete(waiting, i, i+1)
			o.loading = true
			s.pauseAndLoad(o, id)
			return
		}
	})
}

// pauseAndLoad pauses an engine and starts its load once its work has ended,
// which it checks at each tick interval.
func (s *sim) pauseAndLoad(o *owner, id cicadapitch.EndpointID) {
	if !o.state.Pause(id) {
		s.after(s.policy.Endpoint.TickInterval, func() { s.pauseAndLoad(o, id) })
		return
	}
	s.modelLoads++
	s.after(modelLoadDuration, func() {
		s.fakeEndpoints[id].makeCold(s.now)
		o.loading = false
		o.handle(o.state.Resume(s.now, id))
	})
}

// engineDies crashes one language-model endpoint after another for 3 s each,
// six at most.
func engineDies(s *sim) {
	for i, id := range s.endpoints(languageModelPool) {
		if i >= 6 {
			return
		}
		s.after(cicadapitch.Millis(i+1)*5*cicadapitch.Second, func() { s.crashEndpoint(id, 3*cicadapitch.Second) })
	}
}
