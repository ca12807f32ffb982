package standin

import (
	"math/rand/v2"
	"slices"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// prefixCache is the prompt-prefix cache of an engine, with a limited capacity.
// The load report is built from cache events, which arrive after a lag and can
// be lost.
type prefixCache struct {
	clock    cicadapitch.Clock
	capacity int
	lag      cicadapitch.Millis
	// loss is the probability that a cache event is lost.
	loss float64

	mu  sync.Mutex
	rng *rand.Rand
	// entries holds the cached prefixes, the least recently used first.
	entries []string
	events  []cacheEvent
	// reported holds the cached prefixes according to the events that have
	// arrived.
	reported []string
}

// cacheEvent records that a prefix was cached or evicted.
type cacheEvent struct {
	at      cicadapitch.Instant
	prefix  string
	evicted bool
}

// access adds a prefix to the cache, evicting the least recently used one if
// the cache is full, and returns whether the prefix was already cached.
func (c *prefixCache) access(prefix string) bool {
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
	c.publish(prefix, false)
	if len(c.entries) > c.capacity {
		c.publish(c.entries[0], true)
		c.entries = c.entries[1:]
	}
	return false
}

// clear evicts all prefixes, as a restart of the engine does.
func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.entries {
		c.publish(p, true)
	}
	c.entries = nil
}

// publish queues a cache event, or loses it with probability c.loss. The caller
// must hold c.mu.
func (c *prefixCache) publish(prefix string, evicted bool) {
	if c.loss > 0 && c.rng.Float64() < c.loss {
		return
	}
	c.events = append(c.events, cacheEvent{c.clock.Now(), prefix, evicted})
}

// reportedPrefixes returns the cached prefixes according to the events that
// have arrived by now.
func (c *prefixCache) reportedPrefixes() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	for len(c.events) > 0 && c.events[0].at.Add(c.lag) <= now {
		c.apply(c.events[0])
		c.events = c.events[1:]
	}
	return slices.Clone(c.reported)
}

// apply updates the reported prefixes with an event. The caller must hold c.mu.
func (c *prefixCache) apply(e cacheEvent) {
	i := slices.Index(c.reported, e.prefix)
	switch {
	case e.evicted && i >= 0:
		c.reported = slices.Delete(c.reported, i, i+1)
	case !e.evicted && i < 0:
		c.reported = append(c.reported, e.prefix)
	}
}

// prefillTimes holds the time before the first token of a prompt is generated,
// without and with the prompt's prefix cached.
type prefillTimes struct {
	full   cicadapitch.Millis
	cached cicadapitch.Millis
}

// WithPrefill sets the time that the engine spends on a prompt before its first
// token: full in general, cached if the prompt's prefix is cached.
func WithPrefill(full, cached cicadapitch.Millis) EngineOption {
	return func(e *Engine) { e.prefill = prefillTimes{full, cached} }
}

// WithPrefixCache gives the engine a cache for the given number of prefixes.
// Cache events show in the load report after lag. Each event is lost with
// probability loss; seed makes the losses reproducible.
func WithPrefixCache(prefixes int, lag cicadapitch.Millis, loss float64, seed uint64) EngineOption {
	return func(e *Engine) {
		e.cache = &prefixCache{
			clock: e.clock, capacity: prefixes, lag: lag, loss: loss, rng: rand.New(rand.NewPCG(seed, 0)),
		}
	}
}

// startPrefill adds the prefix of a prompt to the cache and returns the prefill
// time of the prompt.
func (e *Engine) startPrefill(prefix string) cicadapitch.Millis {
	if e.cache != nil && e.cache.access(prefix) {
		return e.prefill.cached
	}
	return e.prefill.full
}

// currentLoad returns the load report that is visible now.
func (e *Engine) currentLoad() cicadapitch.LoadReport {
	r := e.reports.current()
	if e.cache != nil {
		r.CachedPrefixes = e.cache.reportedPrefixes()
	}
	return r
}
