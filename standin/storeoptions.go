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

// WithReadRate refuses reads above perSecond, 0 for no limit.
func WithReadRate(perSecond float64) StoreOption {
	return func(s *MemoryStore) { s.reads = newLimiter(perSecond) }
}

// WithWriteRate refuses writes above perSecond, 0 for no limit.
func WithWriteRate(perSecond float64) StoreOption {
	return func(s *MemoryStore) { s.writes = newLimiter(perSecond) }
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// SetDown refuses all calls and ends all watches while down is true. Leases go
// on counting and lapse once the store is back.
func (s *MemoryStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SuppressWatchEvents lets watches hear nothing of changes, though their revision goes on.
func (s *MemoryStore) SuppressWatchEvents(hushed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hushed = hushed
}

// Write makes writes as another client does, whatever the faults.
func (s *MemoryStore) Write(writes ...cicadapitch.Put) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for _, w := range writes {
		s.apply(w)
	}
	s.wake()
}

// Compact drops the history.
func (s *MemoryStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.wake()
}

// Keys lists the keys below a prefix. It does not count as a call.
func (s *MemoryStore) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep()
	keys := slices.Sorted(maps.Keys(s.pairs))
	return slices.DeleteFunc(keys, func(k string) bool { return !strings.HasPrefix(k, prefix) })
}

// SetDelay delays every call by m.
func (s *MemoryStore) SetDelay(m cicadapitch.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = m
}

// LoseAnswers lets the next n writes take effect but give OutcomeUnknown.
func (s *MemoryStore) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}
