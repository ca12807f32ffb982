package placement

import (
	"math"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
)

const (
	// boundedLoad is how far above the mean an engine's load may lie before a
	// session moves to its next engine.
	boundedLoad = 1.5
	// boundedSlack keeps few requests from moving sessions.
	boundedSlack = 3.0
	// coldUse is the part of a cold endpoint's rate that all hosts together use.
	coldUse = 0.9
	// coldHosts is the part of a cold endpoint's rate that is the most hosts
	// which send it work, so that each has a useful share.
	coldHosts = 0.6
	// warmBurst is how many calls a host may start at once at a warm endpoint.
	warmBurst = 3
	// leastRate is what each host of a large fleet may start a second at a warm
	// endpoint.
	leastRate = 1
	// otherZone is the latency that a call within the zone may have more, in
	// milliseconds.
	otherZone = 3.0
	// queueStep is the latency in milliseconds that each running call of this
	// host adds to a plain service's estimate.
	queueStep = 8.0
)

// Chooser chooses endpoints. It is not safe for concurrent use.
type Chooser struct {
	zone       cicadapitch.ZoneID
	coldExcess float64
	coldSlack  float64
	health     map[cicadapitch.EndpointID]*Health
}

// NewChooser returns a chooser for a host in zone. A cold endpoint bears
// excess times its rate and slack more calls in any second.
func NewChooser(zone cicadapitch.ZoneID, excess, slack float64) *Chooser {
	return &Chooser{zone: zone, coldExcess: excess, coldSlack: slack, health: map[cicadapitch.EndpointID]*Health{}}
}

// Health returns the record of an endpoint.
func (c *Chooser) Health(id cicadapitch.EndpointID) *Health {
	h := c.health[id]
	if h == nil {
		h = &Health{}
		c.health[id] = h
	}
	return h
}

// Loads returns this host's running calls by endpoint.
func (c *Chooser) Loads() map[cicadapitch.EndpointID]int {
	out := map[cicadapitch.EndpointID]int{}
	for id, h := range c.health {
		if h.Running > 0 {
			out[id] = h.Running
		}
	}
	return out
}

// Retain forgets endpoints that are not in the view and run nothing.
func (c *Chooser) Retain(known func(cicadapitch.EndpointID) bool) {
	for id, h := range c.health {
		if h.Running == 0 && !known(id) {
			delete(c.health, id)
		}
	}
}

// Want is what a request needs of its endpoint.
type Want struct {
	Service *catalog.Service
	// Session names the prompt that requests of one session share.
	Session string
	// Zone, if set, is where an engine should be.
	Zone cicadapitch.ZoneID
	// Exclude are endpoints that already had the request.
	Exclude map[cicadapitch.EndpointID]bool
	// Hosts is the number of hosts that may send work.
	Hosts int
	// Rank returns the rank of this host among all hosts for a key.
	Rank func(key string) int
	// Others are the other hosts' running calls by endpoint.
	Others map[cicadapitch.EndpointID]int
}

// Engine chooses a model engine: the first in the session's order that is
// healthy and not loaded far above the mean.
func (c *Chooser) Engine(now cicadapitch.Instant, list []fleet.Endpoint, w Want) (fleet.Endpoint, bool) {
	usable := c.usable(now, list, w)
	if len(usable) == 0 {
		return fleet.Endpoint{}, false
	}
	total := 0
	for _, e := range usable {
		total += c.load(e.ID, w)
	}
	bound := boundedLoad*float64(total)/float64(len(usable)) + boundedSlack
	if near := c.near(usable, w, bound); len(near) > 0 {
		usable = near
	}
	ranked := fleet.Rank(w.Session, usable, func(e fleet.Endpoint) string { return string(e.ID) })
	best, least := ranked[0], c.load(ranked[0].ID, w)
	for _, e := range ranked {
		n := c.load(e.ID, w)
		if float64(n) <= bound {
			return e, true
		}
		if n < least {
			best, least = e, n
		}
	}
	return best, true
}

// near lists the engines in the wanted zone with a load within bound.
func (c *Chooser) near(list []fleet.Endpoint, w Want, bound float64) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range list {
		if e.Zone == w.Zone && float64(c.load(e.ID, w)) <= bound {
			out = append(out, e)
		}
	}
	return out
}

func (c *Chooser) load(id cicadapitch.EndpointID, w Want) int {
	return c.Health(id).Running + w.Others[id]
}

// usable lists the endpoints that may get one more call now: the healthy ones,
// or the ejected ones where there is no other.
func (c *Chooser) usable(now cicadapitch.Instant, list []fleet.Endpoint, w Want) []fleet.Endpoint {
	var good, bad []fleet.Endpoint
	for _, e := range list {
		h := c.Health(e.ID)
		if w.Exclude[e.ID] || !c.allowed(now, e, w) {
			continue
		}
		if h.Ejected(now) {
			bad = append(bad, e)
		} else {
			good = append(good, e)
		}
	}
	if len(good) == 0 {
		return bad
	}
	return good
}

// allowed reports whether this host may start a call at an endpoint. A cold one
// gets single calls from a few hosts, so that all together stay within the bound
// in any second. An endpoint may turn cold without a sign, so warm ones have a
// bound too, with room for callers of one session that come together.
func (c *Chooser) allowed(now cicadapitch.Instant, e fleet.Endpoint, w Want) bool {
	bears := w.Service.ColdPerSecond
	if bears <= 0 {
		return true
	}
	h := c.Health(e.ID)
	hosts := float64(max(w.Hosts, 1))
	if !e.Cold(now) {
		return h.allowed(now, max((bears*c.coldExcess+c.coldSlack)/hosts, leastRate), warmBurst)
	}
	few := min(hosts, max(math.Floor(bears*coldHosts), 1))
	if w.Rank != nil && w.Rank(string(e.ID)) >= int(few) {
		return false
	}
	return h.allowed(now, coldUse*bears/few, 1)
}

// Plain chooses an endpoint of a plain service by its latency, this host's
// running calls there and the zone.
func (c *Chooser) Plain(now cicadapitch.Instant, list []fleet.Endpoint, w Want) (fleet.Endpoint, bool) {
	usable := c.usable(now, list, w)
	var best fleet.Endpoint
	least := -1.0
	for _, e := range usable {
		h := c.Health(e.ID)
		score := h.Latency(now)*(1+2*h.Failures(now)) + queueStep*float64(h.Running)
		if e.Zone != c.zone {
			score += otherZone
		}
		if least < 0 || score < least {
			best, least = e, score
		}
	}
	return best, least >= 0
}

// Started records the start of a call.
func (c *Chooser) Started(id cicadapitch.EndpointID) {
	h := c.Health(id)
	h.Running++
	h.count()
}

// Ended records the end of a call.
func (c *Chooser) Ended(id cicadapitch.EndpointID) { c.Health(id).Running-- }
