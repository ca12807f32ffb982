package gateway

import (
	"sync"

	"cicadapitch.example/cicadapitch"
)

const (
	// callTimeSpan is the time for which the longest call of a route counts at least.
	callTimeSpan = 30 * cicadapitch.Second
	// fewCalls is the number of calls of which the longest is half of what one more may last. The more
	// calls there were, the closer is their longest to that.
	fewCalls = 5
)

// callTimes holds how long the calls of each route have lasted lately, from the first sending of a
// request until its end. It is safe for concurrent use.
type callTimes struct {
	mu     sync.Mutex
	routes map[string]*routeTimes
}

// routeTimes are the calls of one route that have ended in this span and in the one before, and those
// that still run.
type routeTimes struct {
	begunAt       cicadapitch.Instant
	current, last callSpan
	// running holds when each call that still runs was sent.
	running map[*proxiedRequest]cicadapitch.Instant
}

type callSpan struct {
	count   int
	longest cicadapitch.Millis
}

func newCallTimes() *callTimes { return &callTimes{routes: map[string]*routeTimes{}} }

// route returns the times of a route. The caller holds mu.
func (c *callTimes) route(now cicadapitch.Instant, route string) *routeTimes {
	r := c.routes[route]
	if r == nil {
		r = &routeTimes{begunAt: now, running: map[*proxiedRequest]cicadapitch.Instant{}}
		c.routes[route] = r
	}
	r.turn(now)
	return r
}

// begin records that a request was sent.
func (c *callTimes) begin(now cicadapitch.Instant, p *proxiedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.route(now, p.route.Name).running[p] = now
}

// end records that a request has ended.
func (c *callTimes) end(now cicadapitch.Instant, p *proxiedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.route(now, p.route.Name).running, p)
}

// outlasted reports whether a call still runs that has lasted for longer than m.
func (c *callTimes) outlasted(now cicadapitch.Instant, route string, m cicadapitch.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.route(now, route).running {
		if now.Sub(at) > m {
			return true
		}
	}
	return false
}

// record records how long a call has lasted.
func (c *callTimes) record(now cicadapitch.Instant, route string, took cicadapitch.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.route(now, route)
	r.current.count++
	r.current.longest = max(r.current.longest, took)
}

// longest returns an upper estimate of how long a call lasts, and false if there was none.
func (c *callTimes) longest(now cicadapitch.Instant, route string) (cicadapitch.Millis, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	if r == nil {
		return 0, false
	}
	r.turn(now)
	n := r.current.count + r.last.count
	if n == 0 {
		return 0, false
	}
	longest := max(r.current.longest, r.last.longest)
	return longest + longest*fewCalls/cicadapitch.Millis(n), true
}

// turn begins a new span if the current one is over.
func (r *routeTimes) turn(now cicadapitch.Instant) {
	switch age := now.Sub(r.begunAt); {
	case age >= 2*callTimeSpan:
		*r = routeTimes{begunAt: now, running: r.running}
	case age >= callTimeSpan:
		*r = routeTimes{begunAt: now, last: r.current, running: r.running}
	}
}
