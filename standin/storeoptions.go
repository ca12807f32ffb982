package standin

import (
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

// WithHistory keeps the last n changes for watches that start late.
func WithHistory(n int) StoreOption {
	return func(s *MemoryStore) { s.historyLimit = n }
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
