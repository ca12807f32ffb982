package standin

import (
	"net/http"
	"slices"
	"strconv"
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
)

// WeightStore is a fake of the store from which engines load model weights. It
// serves one load at a time.
type WeightStore struct {
	loadDuration cicadapitch.Millis

	mu sync.Mutex
	// freeAt is when the last load ends.
	freeAt cicadapitch.Instant
	loads  int
	// longestWait is the longest time that a load waited for earlier loads.
	longestWait cicadapitch.Millis
}

// NewWeightStore returns a store that takes loadDuration for each load.
func NewWeightStore(loadDuration cicadapitch.Millis) *WeightStore {
	return &WeightStore{loadDuration: loadDuration}
}

// Loads returns the number of loads and the longest time that a load waited for
// earlier ones.
func (s *WeightStore) Loads() (n int, longestWait cicadapitch.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.longestWait
}

// startLoad starts a load, or queues it behind earlier ones, and returns when
// it will end.
func (s *WeightStore) startLoad(now cicadapitch.Instant) cicadapitch.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	starts := max(s.freeAt, now)
	s.loads++
	s.longestWait = max(s.longestWait, starts.Sub(now))
	s.freeAt = starts.Add(s.loadDuration)
	return s.freeAt
}

// WithWeightStore makes each order that changes the model, version or adapters
// start a load from s. The engine refuses calls during the load and is in a cold start
// afterwards.
func WithWeightStore(s *WeightStore) EngineOption {
	return func(e *Engine) { e.weights = s }
}

// startWeightLoad starts a load if the order requires one. The caller must hold
// e.mu.
func (e *Engine) startWeightLoad(o cicadapitch.EndpointOrder) {
	if e.weights == nil || !e.changesModel(o) {
		return
	}
	e.loadEndsAt = e.weights.startLoad(e.clock.Now())
	e.completionsToWarm = e.warmAfter
	if e.cache != nil {
		e.cache.clear()
	}
	e.recordLoad()
}

// changesModel returns whether the model, version or adapters of an order
// differ from those of the previous order.
func (e *Engine) changesModel(o cicadapitch.EndpointOrder) bool {
	if len(e.orders) == 0 {
		return true
	}
	last := e.orders[len(e.orders)-1]
	return last.Model != o.Model || last.Version != o.Version || !slices.Equal(last.Adapters, o.Adapters)
}

// refuseWhileLoading refuses a call, marked as not run, if the engine is
// loading a model. It returns whether it did.
func (e *Engine) refuseWhileLoading(w http.ResponseWriter) bool {
	e.mu.Lock()
	left := e.loadEndsAt.Sub(e.clock.Now())
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
