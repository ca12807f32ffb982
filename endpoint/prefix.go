package endpoint

import "cicadapitch.example/cicadapitch"

// The probabilities that a prompt hits the prefix cache of an endpoint, by the
// state of the prefix's entry in the prefixView.
const (
	confirmedHit   = 0.9
	unconfirmedHit = 0.5
)

// prefixView estimates the contents of one endpoint's prefix cache. It may lag
// behind the cache and miss entries. The first load report that does not list
// an entry marks it as unconfirmed, the second deletes it.
type prefixView struct {
	entries map[string]prefixEntry
	limit   int
}

type prefixEntry struct {
	lastUsed    cicadapitch.Instant
	unconfirmed bool
}

// newPrefixView returns an empty view that keeps up to limit prefixes.
func newPrefixView(limit int) prefixView {
	return prefixView{entries: make(map[string]prefixEntry), limit: limit}
}

// hitProbability returns the probability that the endpoint has the prefix
// cached.
func (v *prefixView) hitProbability(prefix string) float64 {
	if prefix == "" {
		return 0
	}
	e, ok := v.entries[prefix]
	switch {
	case !ok:
		return 0
	case e.unconfirmed:
		return unconfirmedHit
	default:
		return confirmedHit
	}
}

// recordUse records a use of the prefix, which leaves it cached.
func (v *prefixView) recordUse(now cicadapitch.Instant, prefix string) {
	if prefix == "" {
		return
	}
	v.entries[prefix] = prefixEntry{lastUsed: now}
	if len(v.entries) > v.limit {
		v.evictOldest()
	}
}

// reconcile updates the view with the prefixes of a load report that was taken
// at taken or later. A report without prefixes changes nothing.
func (v *prefixView) reconcile(taken cicadapitch.Instant, cached []string) {
	if len(cached) == 0 {
		return
	}
	listed := make(map[string]bool, len(cached))
	for _, p := range cached {
		listed[p] = true
		v.recordUse(max(taken, v.entries[p].lastUsed), p)
	}
	for p, e := range v.entries {
		if listed[p] || e.lastUsed > taken {
			continue
		}
		if e.unconfirmed {
			delete(v.entries, p)
			continue
		}
		e.unconfirmed = true
		v.entries[p] = e
	}
}

// clear removes all entries. A restart empties the endpoint's prefix cache.
func (v *prefixView) clear() { clear(v.entries) }

// evictOldest deletes the least recently used entry.
func (v *prefixView) evictOldest() {
	var oldest string
	var lastUsed cicadapitch.Instant
	for p, e := range v.entries {
		if oldest == "" || e.lastUsed < lastUsed || (e.lastUsed == lastUsed && p < oldest) {
			oldest = p
			lastUsed = e.lastUsed
		}
	}
	delete(v.entries, oldest)
}
