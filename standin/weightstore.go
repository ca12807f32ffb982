package standin

import (
	"net/http"
	"slices"
	"strconv"
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
)

// WeightStore is the weight store that engines load models from. It serves one
// load after another.
type WeightStore struct {
	interval cicadapitch.Millis

	mu    sync.Mutex
	free  cicadapitch.Instant
	loads int
	// waited is the longest wait for earlier loads.
	waited cicadapitch.Millis
}

// NewWeightStore returns a store that needs interval for one load.
func NewWeightStore(interval cicadapitch.Millis) *WeightStore {
	return &WeightStore{interval: interval}
}

// Loads returns the number of loads and the longest wait of one for others.
func (s *WeightStore) Loads() (n int, waited cicadapitch.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.waited
}

// load begins a load and returns when it ends.
func (s *WeightStore) load(now cicadapitch.Instant) cicadapitch.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := max(s.free, now)
	s.loads++
	s.waited = max(s.waited, starts.Sub(now))
	s.free = starts.Add(s.interval)
	return s.free
}

// WithWeightStore lets orders of another model, version or adapters load from
// s. The engine refuses calls while it loads, and is cold afterwards.
func WithWeightStore(s *WeightStore) EngineOption {
	return func(e *Engine) { e.weights = s }
}

// loadWeights begins the load that an order asks for, if it does. The caller
// holds the lock.
func (e *Engine) loadWeights(o cicadapitch.EndpointOrder) {
	if e.weights == nil || !e.changes(o) {
		return
	}
	e.loadedAt = e.weights.load(e.clock.Now())
	e.coldLeft = e.warmAfter
	if e.cache != nil {
		e.cache.clear()
	}
	e.report()
}

// changes returns whether an order differs from the one before it.
func (e *Engine) changes(o cicadapitch.EndpointOrder) bool {
	if len(e.orders) == 0 {
		return true
	}
	last := e.orders[len(e.orders)-1]
	return last.Model != o.Model || last.Version != o.Version || !slices.Equal(last.Adapters, o.Adapters)
}

// refuseWhileLoading answers a call that comes during a load.
func (e *Engine) refuseWhileLoading(w http.ResponseWriter) bool {
	e.mu.Lock()
	left := e.loadedAt.Sub(e.clock.Now())
	e.mu.Unlock()
	if left <= 0 {
		return false
	}
	seconds := (left + cicadapitch.Second - 1) / cicadapitch.Second
	w.Header().Set(driver.HeaderNotRun, "true")
	w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	http.Error(w, "the engine loads a model", http.StatusServiceUnavailable)
	return true
}
