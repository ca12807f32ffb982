package placement

import (
	"math"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
)

const (
	// maxLoadFactor is the multiple of the mean load up to which an engine keeps
	// its sessions. Above it, a session's calls go to the next engine in the
	// session's rendezvous order.
	maxLoadFactor = 1.5
	// maxLoadSlack is a number of calls that is added to the load bound, so that
	// sessions don't move while there are only a few requests.
	maxLoadSlack = 3.0
	// coldRateShare is the share of Service.ColdPerSecond that all hosts together
	// use at a cold endpoint.
	coldRateShare = 0.9
	// coldHostsPerCallPerSecond is the number of hosts that may send calls to a cold
	// endpoint, per call per second of Service.ColdPerSecond. With more hosts, the
	// share of each would be too small to be useful.
	coldHostsPerCallPerSecond = 0.6
	// limitRateShare is the share of the limit that an endpoint has named which all hosts
	// together use, and limitHostsPerCallPerSecond the number of hosts that may send it
	// calls, per call per second of the limit.
	limitRateShare             = 0.9
	limitHostsPerCallPerSecond = 0.6
	// warmBurst is the number of calls that a host may start at once at a warm
	// endpoint.
	warmBurst = 3
	// minWarmRate is the number of calls a second that each host may start at a
	// warm endpoint, however many hosts there are.
	minWarmRate = 1
	// crossZonePenalty is added to the score of an endpoint in another zone, in
	// milliseconds.
	crossZonePenalty = 3.0
	// runningCallPenalty is added to the score of a plain service's endpoint for
	// each call of this host that runs there, in milliseconds.
	runningCallPenalty = 8.0
)

// Chooser chooses the endpoints for the requests of one host. It is not safe for
// concurrent use.
type Chooser struct {
	zone cicadapitch.ZoneID
	// coldRateFactor and coldExtraCalls define the rate limit of a warm endpoint over
	// all hosts: coldRateFactor*Service.ColdPerSecond+coldExtraCalls calls a second.
	coldRateFactor float64
	coldExtraCalls float64
	health         map[cicadapitch.EndpointID]*Health
	limits         *RateLimits

	engines map[cicadapitch.EndpointID]*engineState
	// pace is that of all engines, meanWork the mean work of a request of this host.
	pace     pace
	meanWork EngineWork
	// fixed is by route.
	fixed map[string]*fixedTime
	// parts, fixedMillis, scores, predictions, healthy and ejected are state and buffers of one choice.
	parts            promptParts
	fixedMillis      float64
	scores           []uint64
	predictions      []Prediction
	healthy, ejected []fleet.Endpoint
}

// NewChooser returns a chooser for a host in the given zone. In any second, a cold
// endpoint tolerates rateFactor*Service.ColdPerSecond+extraCalls calls. The chooser
// keeps warm endpoints within that limit too, since they may turn cold without
// notice.
func NewChooser(zone cicadapitch.ZoneID, rateFactor, extraCalls float64) *Chooser {
	return &Chooser{
		zone: zone, coldRateFactor: rateFactor, coldExtraCalls: extraCalls,
		health: map[cicadapitch.EndpointID]*Health{}, limits: NewRateLimits(),
		engines: map[cicadapitch.EndpointID]*engineState{},
		fixed:   map[string]*fixedTime{},
	}
}

// SetRateLimits makes the chooser keep to the limits that endpoints have named.
func (c *Chooser) SetRateLimits(l *RateLimits) { c.limits = l }

// Health returns the health record of an endpoint, and creates it if there is
// none.
func (c *Chooser) Health(id cicadapitch.EndpointID) *Health {
	h := c.health[id]
	if h == nil {
		h = &Health{}
		c.health[id] = h
	}
	return h
}

// Loads returns this host's load on each endpoint, in running calls. Endpoints
// without a running call are left out.
func (c *Chooser) Loads() map[cicadapitch.EndpointID]int {
	out := map[cicadapitch.EndpointID]int{}
	for id, h := range c.health {
		if h.Running > 0 {
			out[id] = h.Running
		}
	}
	return out
}

// Retain keeps the health records of the endpoints for which known returns true or
// that run a call of this host, and removes all others.
func (c *Chooser) Retain(known func(cicadapitch.EndpointID) bool) {
	for id, h := range c.health {
		if h.Running == 0 && !known(id) {
			delete(c.health, id)
			delete(c.engines, id)
		}
	}
}

// Criteria are the inputs of a choice: the requirements of the request and the
// state of the other hosts.
type Criteria struct {
	Service *catalog.Service
	// Session identifies the prompt prefix that the requests of a session share.
	Session string
	// Zone, if set, is the preferred zone of an engine.
	Zone cicadapitch.ZoneID
	// Exclude holds the endpoints that the request was already sent to.
	Exclude map[cicadapitch.EndpointID]bool
	// Hosts is the number of hosts that may send work.
	Hosts int
	// Rank returns the position of this host among all hosts in the rendezvous
	// order for a key, or -1 if it is not among them. If it is nil, this host may send
	// to every cold or limited endpoint.
	Rank func(key string) int
	// OtherLoads holds the other hosts' running calls by endpoint.
	OtherLoads map[cicadapitch.EndpointID]int
	// Prompt is the prompt of a request that is to go to an engine by its work. If it is nil, the
	// numbers of calls decide.
	Prompt []catalog.PromptPart
	// Request identifies the request. It takes the place of an empty Session if Prompt is set.
	Request string
	// Route names the request's route.
	Route string
	// Output is the expected number of output tokens, or 0 if that is not known.
	Output cicadapitch.Tokens
	// OtherWork holds the other hosts' outstanding work, ReportAge how old it is.
	OtherWork map[cicadapitch.EndpointID]ReportedWork
	ReportAge cicadapitch.Millis
}

// ChooseEngine chooses a model engine: by the predicted time to the first event if Criteria.Prompt is set
// and the reports of the other hosts are young, else by the number of calls. It returns false if no engine may
// get a call now.
func (c *Chooser) ChooseEngine(now cicadapitch.Instant, list []fleet.Endpoint, criteria Criteria) (fleet.Endpoint, bool) {
	e, _, ok := c.PredictEngine(now, list, criteria)
	return e, ok
}

// PredictEngine is ChooseEngine with the prediction on which the choice rests.
func (c *Chooser) PredictEngine(now cicadapitch.Instant, list []fleet.Endpoint, criteria Criteria) (fleet.Endpoint, Prediction, bool) {
	usable := c.usable(now, list, criteria)
	if len(usable) == 0 {
		return fleet.Endpoint{}, Prediction{}, false
	}
	if criteria.Prompt == nil || criteria.ReportAge > maxWorkAge {
		e, ok := c.chooseByCalls(usable, criteria)
		return e, Prediction{}, ok
	}
	e, p := c.chooseByWork(now, usable, criteria)
	return e, p, true
}

// maxWorkAge is the age from which reported work is unknown. An engine prefills more than 100,000 tokens
// in that time.
const maxWorkAge = 2 * cicadapitch.Second

// chooseByCalls chooses the first engine in the session's rendezvous order whose load is at
// most maxLoadFactor times the mean plus maxLoadSlack. The least loaded one always is. Only
// engines in the preferred zone are considered if one of them is within the bound.
func (c *Chooser) chooseByCalls(usable []fleet.Endpoint, criteria Criteria) (fleet.Endpoint, bool) {
	total := 0
	for _, e := range usable {
		total += c.load(e.ID, &criteria)
	}
	bound := maxLoadFactor*float64(total)/float64(len(usable)) + maxLoadSlack
	if local := c.preferredWithinBound(usable, criteria, bound); len(local) > 0 {
		usable = local
	}
	withinBound := func(e fleet.Endpoint) bool { return float64(c.load(e.ID, &criteria)) <= bound }
	return fleet.First(criteria.Session, usable, func(e fleet.Endpoint) string { return string(e.ID) }, withinBound)
}

// preferredWithinBound returns the engines in the preferred zone whose load is at
// most bound.
func (c *Chooser) preferredWithinBound(list []fleet.Endpoint, criteria Criteria, bound float64) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range list {
		if e.Zone == criteria.Zone && float64(c.load(e.ID, &criteria)) <= bound {
			out = append(out, e)
		}
	}
	return out
}

// load returns the running calls of all hosts at an endpoint.
func (c *Chooser) load(id cicadapitch.EndpointID, criteria *Criteria) int {
	return c.Health(id).Running + criteria.OtherLoads[id]
}

// usable returns the endpoints that may get a call now. It returns ejected ones
// only if no healthy one may get a call. The result is valid until the next call.
func (c *Chooser) usable(now cicadapitch.Instant, list []fleet.Endpoint, criteria Criteria) []fleet.Endpoint {
	healthy, ejected := c.healthy[:0], c.ejected[:0]
	for i := range list {
		e := &list[i]
		h := c.Health(e.ID)
		if criteria.Exclude[e.ID] || now < h.pausedUntil || !c.allowed(now, e, &criteria) {
			continue
		}
		if h.Ejected(now) {
			ejected = append(ejected, *e)
		} else {
			healthy = append(healthy, *e)
		}
	}
	c.healthy, c.ejected = healthy, ejected
	if len(healthy) == 0 {
		return ejected
	}
	return healthy
}

// ShortestPause returns the time until the first of the endpoints takes calls of this host
// again, or 0 if one of them has not refused any for a time.
func (c *Chooser) ShortestPause(now cicadapitch.Instant, list []fleet.Endpoint) cicadapitch.Millis {
	if len(list) == 0 {
		return 0
	}
	pauses := lo.Map(list, func(e fleet.Endpoint, _ int) cicadapitch.Millis {
		return max(c.Health(e.ID).pausedUntil.Sub(now), 0)
	})
	return lo.Min(pauses)
}

// Paused reports whether an endpoint takes no calls of this host for now, by its own word.
func (c *Chooser) Paused(now cicadapitch.Instant, id cicadapitch.EndpointID) bool {
	h := c.health[id]
	return h != nil && now < h.pausedUntil
}

// allowed reports whether this host's rate limit permits a call at an endpoint now.
// Only a limited number of hosts may call a cold endpoint, each without a burst, so
// that all hosts together stay within Service.ColdPerSecond in any second. An
// endpoint may turn cold without notice, so a warm one has a rate limit too, with a
// burst for callers of one session that arrive together. A limit that the endpoint has
// named is shared in the same way, and so are the slots of a brittle one.
func (c *Chooser) allowed(now cicadapitch.Instant, e *fleet.Endpoint, criteria *Criteria) bool {
	rate, burst := math.Inf(1), float64(warmBurst)
	hosts := float64(max(criteria.Hosts, 1))
	coldRate := criteria.Service.ColdPerSecond
	switch {
	case coldRate > 0 && e.Cold(now):
		senders, ok := sendersOf(*e, coldRate*coldHostsPerCallPerSecond, *criteria)
		if !ok {
			return false
		}
		rate, burst = coldRateShare*coldRate/senders, 1
	case coldRate > 0:
		rate = max((coldRate*c.coldRateFactor+c.coldExtraCalls)/hosts, minWarmRate)
	}
	if limit, ok := c.limits.Of(e.Endpoint); ok {
		senders, ok := sendersOf(*e, limit*limitHostsPerCallPerSecond, *criteria)
		if !ok || limit == 0 {
			return false
		}
		rate, burst = min(rate, limitRateShare*limit/senders), 1
	}
	if !c.brittleAllowed(e, criteria) {
		return false
	}
	return math.IsInf(rate, 1) || c.Health(e.ID).allowed(now, rate, burst)
}

// sendersOf returns how many hosts share a small rate of calls at an endpoint, and whether
// this host is one of them. wanted is the number of hosts for which the rate suffices.
func sendersOf(e fleet.Endpoint, wanted float64, criteria Criteria) (float64, bool) {
	senders := min(float64(max(criteria.Hosts, 1)), max(math.Floor(wanted), 1))
	if criteria.Rank == nil {
		return senders, true
	}
	rank := criteria.Rank(string(e.ID))
	return senders, rank >= 0 && rank < int(senders)
}

// ChoosePlain chooses the endpoint of a plain service with the lowest score: its
// latency, raised by its failure rate, with penalties for this host's running
// calls there and for another zone. It returns false if no endpoint may get a
// call now.
func (c *Chooser) ChoosePlain(now cicadapitch.Instant, list []fleet.Endpoint, criteria Criteria) (fleet.Endpoint, bool) {
	usable := c.usable(now, list, criteria)
	var best fleet.Endpoint
	lowest := -1.0
	for _, e := range usable {
		h := c.Health(e.ID)
		score := h.Latency(now)*(1+2*h.FailureRate(now)) + runningCallPenalty*float64(h.Running)
		if e.Zone != c.zone {
			score += crossZonePenalty
		}
		if lowest < 0 || score < lowest {
			best, lowest = e, score
		}
	}
	return best, lowest >= 0
}

// RecordStart records that a call of this host started at an endpoint.
func (c *Chooser) RecordStart(id cicadapitch.EndpointID) {
	h := c.Health(id)
	h.Running++
	h.takeToken()
}

// RecordEnd records that a call of this host ended.
func (c *Chooser) RecordEnd(id cicadapitch.EndpointID) { c.Health(id).Running-- }
