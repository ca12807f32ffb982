package standin

import (
	"maps"
	"slices"
	"strings"

	"golang.org/x/time/rate"

	"cicadapitch.example/cicadapitch"
)

// StoreOption sets an option of a MemoryStore.
type StoreOption func(*MemoryStore)

// WithReadRate refuses reads above perSecond; 0 means no limit.
func WithReadRate(perSecond float64) StoreOption {
	return func(s *MemoryStore) { s.reads = newLimiter(perSecond) }
}

// WithWriteRate refuses writes above perSecond; 0 means no limit.
func WithWriteRate(perSecond float64) StoreOption {
	return func(s *MemoryStore) { s.writes = newLimiter(perSecond) }
}

// newLimiter returns a limiter whose burst is the number of calls of one
// second.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetDown refuses all calls and ends all watches while down is true. The TTLs
// of leases continue to run, and expired leases end once the store is up again.
func (s *MemoryStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches()
}

// SuppressWatchEvents makes watches deliver no events while suppressed is true.
// Open watches miss the events of that period for good, since their revision
// advances past them.
func (s *MemoryStore) SuppressWatchEvents(suppressed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchEventsSuppressed = suppressed
}

// RefuseWatches refuses watches of a prefix that wait for a change, or none if it is empty.
func (s *MemoryStore) RefuseWatches(prefix string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedWatch = prefix
	s.notifyWatches()
}

// Write applies writes as another client of the store would. It ignores the
// injected faults.
func (s *MemoryStore) Write(writes ...cicadapitch.Write) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, w := range writes {
		s.apply(w)
	}
	s.notifyWatches()
}

// Compact drops the history of changes, so that watches must list again.
func (s *MemoryStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedRevision = nil, s.revision
	s.notifyWatches()
}

// Keys returns the keys that begin with prefix, in sorted order. It does not
// count as a call.
func (s *MemoryStore) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	keys := slices.Sorted(maps.Keys(s.pairs))
	return slices.DeleteFunc(keys, func(k string) bool { return !strings.HasPrefix(k, prefix) })
}

// SetDelay delays every call by m.
func (s *MemoryStore) SetDelay(m cicadapitch.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = m
}

// LoseAnswers makes the next n writes take effect but return OutcomeUnknown.
func (s *MemoryStore) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}
