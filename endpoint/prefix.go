package endpoint

import "cicadapitch.example/cicadapitch"

// The probabilities of a prefix-cache hit by what is known.
const (
	likely   = 0.9
	doubtful = 0.5
)

// prefixView is what is believed about the prefix cache of one endpoint. It
// may lag and have gaps: an entry that a report does not confirm becomes
// doubtful, and is dropped when the next report does not confirm it either.
type prefixView struct {
	entries map[string]prefixEntry
	limit   int
}

type prefixEntry struct {
	used    cicadapitch.Instant
	doubted bool
}

func newPrefixView(limit int) prefixView {
	return prefixView{entries: make(map[string]prefixEntry), limit: limit}
}

// hit returns the probability that a prompt with the prefix finds it cached.
func (v *prefixView) hit(prefix string) float64 {
	if prefix == "" {
		return 0
	}
	e, ok := v.entries[prefix]
	switch {
	case !ok:
		return 0
	case e.doubted:
		return doubtful
	default:
		return likely
	}
}

// note records that a call with the prefix reads or fills the cache.
func (v *prefixView) note(now cicadapitch.Instant, prefix string) {
	if prefix == "" {
		return
	}
	v.entries[prefix] = prefixEntry{used: now}
	if len(v.entries) > v.limit {
		v.evict()
	}
}

// report compares the view with the prefixes that were cached at taken or
// later.
func (v *prefixView) report(taken cicadapitch.Instant, cached []string) {
	if len(cached) == 0 {
		return
	}
	listed := make(map[string]bool, len(cached))
	for _, p := range cached {
		listed[p] = true
		v.note(max(taken, v.entries[p].used), p)
	}
	for p, e := range v.entries {
		if listed[p] || e.used > taken {
			continue
		}
		if e.doubted {
			delete(v.entries, p)
			continue
		}
		e.doubted = true
		v.entries[p] = e
	}
}

// clear forgets everything, since the endpoint has restarted.
func (v *prefixView) clear() { clear(v.entries) }

func (v *prefixView) evict() {
	var oldest string
	var used cicadapitch.Instant
	for p, e := range v.entries {
		if oldest == "" || e.used < used || (e.used == used && p < oldest) {
			oldest = p
			used = e.used
		}
	}
	delete(v.entries, oldest)
}
