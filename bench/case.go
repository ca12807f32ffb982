package bench

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// Case is a load with what fails meanwhile.
type Case struct {
	Name  string
	Fleet Fleet
	// Load is the offered load as a part of the capacity with all warm.
	Load     float64
	Duration cicadapitch.Millis
	// RateFactor multiplies a customer's load over time.
	RateFactor func(customer int, since cicadapitch.Millis) float64
	// Script brings about the failures. It runs when the measurement begins.
	Script func(*sim)
}

// The instants of the zone case, from the start of the measurement.
const (
	ZoneOutSeconds  = 10
	ZoneBackSeconds = 30
)

// Cases returns the cases for a fleet.
func Cases(f Fleet) []Case {
	return []Case{
		{Name: "steady", Fleet: f, Load: 0.8, Duration: 30 * cicadapitch.Second},
		{Name: "burst", Fleet: f, Load: 0.5, Duration: 40 * cicadapitch.Second, RateFactor: burst},
		{Name: "slow endpoint", Fleet: f, Load: 0.7, Duration: 30 * cicadapitch.Second, Script: slowEndpoint},
		{Name: "cold again", Fleet: f, Load: 0.6, Duration: 40 * cicadapitch.Second, Script: coldAgain},
		{Name: "zone out", Fleet: f, Load: 0.55, Duration: 50 * cicadapitch.Second, Script: zoneLeaves},
		{Name: "flood", Fleet: f, Load: 0.6, Duration: 40 * cicadapitch.Second, RateFactor: flood},
		{Name: "engine dies", Fleet: f, Load: 0.6, Duration: 40 * cicadapitch.Second, Script: engineDies},
		{Name: "model loads", Fleet: f, Load: 0.5, Duration: 110 * cicadapitch.Second, Script: modelLoads},
	}
}

// StoreDown returns the case of a store that is down for ten minutes, in which
// an entry host dies and its shards cannot be claimed.
func StoreDown(f Fleet) Case {
	return Case{Name: "store down", Fleet: f, Load: 0.4, Duration: 11 * cicadapitch.Minute, Script: func(s *sim) {
		s.after(10*cicadapitch.Second, func() { s.kill(s.hosts[0]) })
		s.after(10*cicadapitch.Minute, s.claim)
	}}
}

// LetterSteady returns the case of the size to design for, over a short span.
func LetterSteady() Case {
	return Case{Name: "steady", Fleet: Letter(), Load: 0.8, Duration: 5 * cicadapitch.Second}
}

// burst triples the load for a while.
func burst(_ int, since cicadapitch.Millis) float64 {
	if since >= 10*cicadapitch.Second && since < 25*cicadapitch.Second {
		return 3
	}
	return 1
}

// flood has one customer send eight times its load.
func flood(customer int, since cicadapitch.Millis) float64 {
	if customer == 0 && since >= 5*cicadapitch.Second {
		return 8
	}
	return 1
}

func slowEndpoint(s *sim) {
	ids := s.endpoints(languageModel)
	s.after(5*cicadapitch.Second, func() { s.engines[ids[0]].slow = 4 })
}

// coldAgain turns endpoints cold without warning. Every second one does not
// even report it.
func coldAgain(s *sim) {
	for i, id := range s.endpoints(languageModel) {
		if i >= 6 {
			return
		}
		s.after(cicadapitch.Millis(i+1)*5*cicadapitch.Second, func() {
			s.engines[id].silent = i%2 == 1
			s.engines[id].chill(s.now)
		})
	}
}

func zoneLeaves(s *sim) {
	set := func(out bool) func() {
		return func() {
			s.configure(func(cfg *cicadapitch.Configuration) { cfg.Zones[0].Out = out })
			if out {
				return
			}
			for _, e := range s.cfg.Endpoints {
				if e.Zone == s.cfg.Zones[0].ID {
					s.engines[e.ID].chill(s.now)
				}
			}
		}
	}
	s.after(ZoneOutSeconds*cicadapitch.Second, set(true))
	s.after(ZoneBackSeconds*cicadapitch.Second, set(false))
}

const (
	// loadEvery is the pace of the weight store, loadMillis the time that an
	// engine takes to load.
	loadEvery  = 10 * cicadapitch.Second
	loadMillis = 4 * cicadapitch.Second
)

// modelLoads orders one engine after another to load a version, whenever its
// shard has room for the work of a whole engine. As in package rollout, the
// engine is paused first, and takes work again from a cold start.
func modelLoads(s *sim) {
	waiting := s.endpoints(languageModel)
	s.every(loadEvery, func() {
		for i, id := range waiting {
			o := s.ownerOf(id)
			load := o.state.Load(s.now)
			if o.resting || load.Queued > 0 || int(load.Free)*len(o.shard.Endpoints) < int(load.Total) {
				continue
			}
			waiting = slices.Delete(waiting, i, i+1)
			o.resting = true
			s.rest(o, id)
			return
		}
	})
}

// rest pauses an engine and has it load once its work has ended.
func (s *sim) rest(o *owner, id cicadapitch.EndpointID) {
	if !o.state.Pause(id) {
		s.after(s.policy.Endpoint.TickInterval, func() { s.rest(o, id) })
		return
	}
	s.loads++
	s.after(loadMillis, func() {
		s.engines[id].chill(s.now)
		o.resting = false
		o.handle(o.state.Resume(s.now, id))
	})
}

func engineDies(s *sim) {
	for i, id := range s.endpoints(languageModel) {
		if i >= 6 {
			return
		}
		s.after(cicadapitch.Millis(i+1)*5*cicadapitch.Second, func() { s.crash(id, 3*cicadapitch.Second) })
	}
}
