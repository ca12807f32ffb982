package bench

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// curve gives the service times of a kind of endpoint, in milliseconds.
type curve struct {
	// First is the time to the first token, or of the whole call of a plain
	// service. FirstHit is the same with the prefix cached.
	First, FirstHit float64
	PerToken        float64
	// Batch is how much slower a call is at a full endpoint than alone.
	Batch float64
	// Cold is how much slower a call is in a cold start.
	Cold float64
	// WarmUp and WarmUpCalls are what ends a cold start.
	WarmUp      cicadapitch.Millis
	WarmUpCalls int
	// Prefixes is the size of the prefix cache.
	Prefixes int
}

// reading is what a load report shows of an instant.
type reading struct {
	at      cicadapitch.Instant
	running cicadapitch.Slots
	cold    bool
}

// engine is a fake endpoint.
type engine struct {
	id      cicadapitch.EndpointID
	curve   curve
	pool    cicadapitch.Pool
	slow    float64
	down    bool
	cold    bool
	coldAt  cicadapitch.Instant
	warmed  int
	running []*call
	cache   []string
	history []reading
	// silent is true while the endpoint does not report that it is cold.
	silent bool

	// maxOnCold is the most calls that were running in a cold start, of those
	// that began in it. overCold counts the calls that began above what the
	// endpoint bears so, and overFull those that did with older work counted.
	maxOnCold cicadapitch.Slots
	overCold  int
	overFull  int
}

// call is one call at a fake endpoint.
type call struct {
	try   *attempt
	first float64
	token float64
	began cicadapitch.Instant
	ended bool
}

func (e *engine) bears() cicadapitch.Slots {
	if e.cold {
		return e.pool.ColdSlots
	}
	return e.pool.WarmSlots
}

// begin takes a call and works out its times from the present batch.
func (e *engine) begin(now cicadapitch.Instant, c *call) {
	c.began = now
	e.running = append(e.running, c)
	n := cicadapitch.Slots(len(e.running))
	factor := e.slow * (1 + e.curve.Batch*float64(n)/float64(e.pool.WarmSlots))
	if e.cold {
		e.watchCold(now)
		factor *= e.curve.Cold
	}
	if n > e.bears() {
		over := float64(n) / float64(e.bears())
		factor *= over * over
		e.warmed = 0
	}
	c.first = e.curve.First * factor
	if e.touch(c.try.job.Prefix) {
		c.first = e.curve.FirstHit * factor
	}
	c.token = e.curve.PerToken * factor
	e.note(now)
}

// watchCold counts the calls of a cold start.
func (e *engine) watchCold(now cicadapitch.Instant) {
	fresh := cicadapitch.Slots(0)
	for _, c := range e.running {
		if c.began >= e.coldAt {
			fresh++
		}
	}
	e.maxOnCold = max(e.maxOnCold, fresh)
	if fresh > e.pool.ColdSlots {
		e.overCold++
	}
	if cicadapitch.Slots(len(e.running)) > e.pool.ColdSlots && now.Sub(e.coldAt) > noticeable {
		e.overFull++
	}
}

// noticeable is the age of a cold start from which work is counted as sent in
// the knowledge of it.
const noticeable = 2 * cicadapitch.Second

// end takes a call out.
func (e *engine) end(now cicadapitch.Instant, c *call) {
	c.ended = true
	e.running = slices.DeleteFunc(e.running, func(d *call) bool { return d == c })
	e.warmed++
	if e.cold && e.warmed >= e.curve.WarmUpCalls && now.Sub(e.coldAt) >= e.curve.WarmUp {
		e.cold = false
	}
	e.note(now)
}

// chill puts the endpoint into a cold start.
func (e *engine) chill(now cicadapitch.Instant) {
	e.cold = true
	e.coldAt = now
	e.warmed = 0
	e.cache = nil
	e.note(now)
}

// touch moves a prefix to the front of the cache and returns whether it was
// there.
func (e *engine) touch(prefix string) bool {
	if prefix == "" {
		return false
	}
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.curve.Prefixes {
		e.cache = slices.Delete(e.cache, 0, 1)
	}
	return i >= 0
}

func (e *engine) note(now cicadapitch.Instant) {
	e.history = append(e.history, reading{at: now, running: cicadapitch.Slots(len(e.running)), cold: e.cold})
}

// report returns the load as it was lag ago.
func (e *engine) report(now cicadapitch.Instant, lag cicadapitch.Millis) cicadapitch.LoadReport {
	at := now.Add(-lag)
	i := 0
	for i+1 < len(e.history) && e.history[i+1].at <= at {
		i++
	}
	e.history = e.history[i:]
	r := cicadapitch.LoadReport{At: at, CachedPrefixes: slices.Clone(e.cache)}
	if len(e.history) > 0 {
		r.Running = e.history[0].running
		r.Cold = e.history[0].cold && !e.silent
	}
	return r
}
