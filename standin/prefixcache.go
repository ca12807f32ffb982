package standin

import (
	"math/rand/v2"
	"slices"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// prefixCache is the prompt-prefix cache of an engine in limited memory. Its
// events reach the load report late, and some never do.
type prefixCache struct {
	clock    cicadapitch.Clock
	capacity int
	lag      cicadapitch.Millis
	loss     float64

	mu sync.Mutex
	r  *rand.Rand
	// entries holds the cached prefixes, the least recently used first.
	entries []string
	events  []cacheEvent
	// published holds what the events so far have told.
	published []string
}

// cacheEvent tells that a prefix was cached or evicted.
type cacheEvent struct {
	at      cicadapitch.Instant
	prefix  string
	evicted bool
}

// use takes a prefix into the cache and returns whether it was there.
func (c *prefixCache) use(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if prefix == "" || c.capacity <= 0 {
		return false
	}
	if i := slices.Index(c.entries, prefix); i >= 0 {
		c.entries = append(slices.Delete(c.entries, i, i+1), prefix)
		return true
	}
	c.entries = append(c.entries, prefix)
	c.tell(prefix, false)
	if len(c.entries) > c.capacity {
		c.tell(c.entries[0], true)
		c.entries = c.entries[1:]
	}
	return false
}

// clear forgets everything, as a restart does.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.entries {
		c.tell(p, true)
	}
	c.entries = nil
}

// tell publishes an event unless it is lost. The caller holds the lock.
func (c *prefixCache) tell(prefix string, evicted bool) {
	if c.loss > 0 && c.r.Float64() < c.loss {
		return
	}
	c.events = append(c.events, cacheEvent{c.clock.Now(), prefix, evicted})
}

// list returns the prefixes that are cached by the events that have arrived.
func (c *prefixCache) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for len(c.events) > 0 && c.events[0].at.Add(c.lag) <= now {
		c.apply(c.events[0])
		c.events = c.events[1:]
	}
	return slices.Clone(c.published)
}

func (c *prefixCache) apply(e cacheEvent) {
	i := slices.Index(c.published, e.prefix)
	switch {
	case e.evicted && i >= 0:
		c.published = slices.Delete(c.published, i, i+1)
	case !e.evicted && i < 0:
		c.published = append(c.published, e.prefix)
	}
}

// prefill is the time until the first token of a prompt can be worked on.
type prefill struct {
	full   cicadapitch.Millis
	cached cicadapitch.Millis
}

// WithPrefill sets the time that a prompt takes before its first token, and
// what is left of it where the prompt's prefix is cached.
func WithPrefill(full, cached cicadapitch.Millis) EngineOption {
	return func(e *Engine) { e.prefill = prefill{full, cached} }
}

// WithPrefixCache lets the engine cache that many prefixes. Cache events show
// in the load report after lag; each is lost with the probability loss, which
// seed makes repeat.
func WithPrefixCache(prefixes int, lag cicadapitch.Millis, loss float64, seed uint64) EngineOption {
	return func(e *Engine) {
		e.cache = &prefixCache{
			clock: e.clock, capacity: prefixes, lag: lag, loss: loss, r: rand.New(rand.NewPCG(seed, 0)),
		}
	}
}

// prefillOf returns the time of a prompt's prefill and caches its prefix.
func (e *Engine) prefillOf(prefix string) cicadapitch.Millis {
	if e.cache != nil && e.cache.use(prefix) {
		return e.prefill.cached
	}
	return e.prefill.full
}

// load returns the load report that shows now.
func (e *Engine) load() cicadapitch.LoadReport {
	r := e.reports.current()
	if e.cache != nil {
		r.CachedPrefixes = e.cache.list()
	}
	return r
}
