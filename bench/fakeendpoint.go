package bench

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// latencyModel holds the service times of a type of endpoint, in milliseconds.
type latencyModel struct {
	// First is the time to the first token, or the duration of the whole call
	// to a plain service. FirstCached is the same with the prompt prefix
	// cached.
	First, FirstCached float64
	PerToken           float64
	// BatchSlowdown is the fraction by which a call takes longer at a full
	// endpoint than on an idle one.
	BatchSlowdown float64
	// ColdSlowdown is the factor by which a call takes longer during a cold
	// start.
	ColdSlowdown float64
	// WarmUp and WarmUpCalls are the least duration of a cold start and the
	// least number of calls that must complete during it.
	WarmUp      cicadapitch.Millis
	WarmUpCalls int
	// Prefixes is the capacity of the prefix cache.
	Prefixes int
}

// loadSample is the load of an endpoint from an instant on.
type loadSample struct {
	at      cicadapitch.Instant
	running cicadapitch.Slots
	cold    bool
}

// fakeEndpoint is a fake endpoint, either a model engine or a plain service.
type fakeEndpoint struct {
	id      cicadapitch.EndpointID
	latency latencyModel
	pool    cicadapitch.Pool
	// slowdown is a factor on all service times.
	slowdown  float64
	down      bool
	cold      bool
	coldSince cicadapitch.Instant
	// warmUpCompletions counts the calls that have ended since the beginning of
	// the cold start or since the last overload, whichever is later.
	warmUpCompletions int
	running           []*call
	// cache holds the cached prefixes, the least recently used first.
	cache []string
	// samples holds the loads over time, the oldest first.
	samples []loadSample
	// hidesCold is true if load reports do not show that the endpoint is cold.
	hidesCold bool

	// maxColdCalls is the highest number of calls that ran concurrently in a
	// cold start, counting only calls that started in it. coldOverloads counts
	// the calls that started when such calls already took all cold slots.
	// lateColdOverloads counts the calls that started more than coldNoticeDelay
	// into a cold start when running calls, older ones included, already took
	// all cold slots.
	maxColdCalls      cicadapitch.Slots
	coldOverloads     int
	lateColdOverloads int
}

// call is a call to a fake endpoint. firstTokenMillis is the time to the first
// token, or the duration of the whole call to a plain service.
type call struct {
	attempt          *attempt
	firstTokenMillis float64
	perTokenMillis   float64
	startedAt        cicadapitch.Instant
	ended            bool
}

// coldOrWarmSlots returns the number of calls that the endpoint can run
// concurrently in its current state.
func (e *fakeEndpoint) coldOrWarmSlots() cicadapitch.Slots {
	if e.cold {
		return e.pool.ColdSlots
	}
	return e.pool.WarmSlots
}

// startCall adds a call and sets its service times from the current number of
// calls. Calls above the slots are slowed down further and restart the count of
// completed calls that ends a cold start.
func (e *fakeEndpoint) startCall(now cicadapitch.Instant, c *call) {
	c.startedAt = now
	e.running = append(e.running, c)
	n := cicadapitch.Slots(len(e.running))
	factor := e.slowdown * (1 + e.latency.BatchSlowdown*float64(n)/float64(e.pool.WarmSlots))
	if e.cold {
		e.countColdOverload(now)
		factor *= e.latency.ColdSlowdown
	}
	if n > e.coldOrWarmSlots() {
		over := float64(n) / float64(e.coldOrWarmSlots())
		factor *= over * over
		e.warmUpCompletions = 0
	}
	c.firstTokenMillis = e.latency.First * factor
	if e.cachePrefix(c.attempt.job.Prefix) {
		c.firstTokenMillis = e.latency.FirstCached * factor
	}
	c.perTokenMillis = e.latency.PerToken * factor
	e.recordSample(now)
}

// countColdOverload updates maxColdCalls, coldOverloads and lateColdOverloads
// after a call has started in a cold start.
func (e *fakeEndpoint) countColdOverload(now cicadapitch.Instant) {
	newCalls := cicadapitch.Slots(0)
	for _, c := range e.running {
		if c.startedAt >= e.coldSince {
			newCalls++
		}
	}
	e.maxColdCalls = max(e.maxColdCalls, newCalls)
	if newCalls > e.pool.ColdSlots {
		e.coldOverloads++
	}
	if cicadapitch.Slots(len(e.running)) > e.pool.ColdSlots && now.Sub(e.coldSince) > coldNoticeDelay {
		e.lateColdOverloads++
	}
}

// coldNoticeDelay is the time after the beginning of a cold start from which
// the sender of a call is expected to know of it.
const coldNoticeDelay = 2 * cicadapitch.Second

// endCall removes a call and ends the cold start if it has lasted long enough
// and enough calls have completed.
func (e *fakeEndpoint) endCall(now cicadapitch.Instant, c *call) {
	c.ended = true
	e.running = slices.DeleteFunc(e.running, func(d *call) bool { return d == c })
	e.warmUpCompletions++
	if e.cold && e.warmUpCompletions >= e.latency.WarmUpCalls && now.Sub(e.coldSince) >= e.latency.WarmUp {
		e.cold = false
	}
	e.recordSample(now)
}

// makeCold puts the endpoint into a cold start and empties its prefix cache.
func (e *fakeEndpoint) makeCold(now cicadapitch.Instant) {
	e.cold = true
	e.coldSince = now
	e.warmUpCompletions = 0
	e.cache = nil
	e.recordSample(now)
}

// cachePrefix makes a prefix the most recently used one in the cache and
// returns whether it was already cached.
func (e *fakeEndpoint) cachePrefix(prefix string) bool {
	if prefix == "" {
		return false
	}
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.latency.Prefixes {
		e.cache = slices.Delete(e.cache, 0, 1)
	}
	return i >= 0
}

// recordSample records the current load.
func (e *fakeEndpoint) recordSample(now cicadapitch.Instant) {
	e.samples = append(e.samples, loadSample{at: now, running: cicadapitch.Slots(len(e.running)), cold: e.cold})
}

// report returns the load report with the load of lag ago. It drops older
// samples.
func (e *fakeEndpoint) report(now cicadapitch.Instant, lag cicadapitch.Millis) cicadapitch.LoadReport {
	at := now.Add(-lag)
	i := 0
	for i+1 < len(e.samples) && e.samples[i+1].at <= at {
		i++
	}
	e.samples = e.samples[i:]
	r := cicadapitch.LoadReport{At: at, CachedPrefixes: slices.Clone(e.cache)}
	if len(e.samples) > 0 {
		r.Running = e.samples[0].running
		r.Cold = e.samples[0].cold && !e.hidesCold
	}
	return r
}
