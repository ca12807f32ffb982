package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"cicadapitch.example/cicadapitch"
)

const maxEngineRequest = 8 << 20

// Engine is a model engine with the OpenAI-style completion API.
type Engine struct {
	clock         cicadapitch.Clock
	tokenTime     cicadapitch.Millis
	growth        float64
	slots         cicadapitch.Slots
	coldSlots     cicadapitch.Slots
	warmAfter     int
	checksFencing bool
	reports       lagged
	prefill       prefill
	cache         *prefixCache
	weights       *WeightStore
	record        record
	mux           *http.ServeMux

	mu       sync.Mutex
	running  cicadapitch.Slots
	waiting  []*waiter
	coldLeft int
	overload int
	leaving  bool
	dieAfter int
	orders   []cicadapitch.EndpointOrder
	fencing  cicadapitch.FencingNumber
	loadedAt cicadapitch.Instant
}

// NewEngine returns an engine that is warm unless WithCold is given.
func NewEngine(clock cicadapitch.Clock, opts ...EngineOption) *Engine {
	e := &Engine{clock: clock, slots: 8, coldSlots: 1, warmAfter: 4, dieAfter: -1}
	e.reports.clock = clock
	e.record.clock = clock
	for _, opt := range opts {
		opt(e)
	}
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.load()) })
	e.mux.HandleFunc("POST /orders", e.order)
	e.mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Record()) })
	e.mux.HandleFunc("POST /faults", e.faults)
	e.report()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Record is the body of GET /record.
type Record struct {
	Runs      []Run
	Overloads int
	Cold      bool
	Orders    []cicadapitch.EndpointOrder
}

// Record returns all that the engine did.
func (e *Engine) Record() Record {
	runs := e.record.Runs()
	e.mu.Lock()
	defer e.mu.Unlock()
	return Record{
		Runs:      runs,
		Overloads: e.overload,
		Cold:      e.coldLeft > 0,
		Orders:    append([]cicadapitch.EndpointOrder{}, e.orders...),
	}
}

// Runs returns all work that was started.
func (e *Engine) Runs() []Run { return e.record.Runs() }

// Overloads counts the requests that failed because the engine was cold.
func (e *Engine) Overloads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overload
}

// EngineFaults is the body of POST /faults.
type EngineFaults struct {
	// GoCold makes the engine cold.
	GoCold bool
	// DieAfter cuts the next stream after that many tokens, 0 for none.
	DieAfter int
	// Leaving sets what the load report says.
	Leaving bool
}

func (e *Engine) faults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEngineRequest)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.GoCold {
		e.MakeCold()
	}
	if f.DieAfter > 0 {
		e.AbortStreamAfter(f.DieAfter)
	}
	e.SetLeaving(f.Leaving)
	writeJSON(w, f)
}

// MakeCold makes the engine cold without warning.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldLeft = e.warmAfter
	if e.cache != nil {
		e.cache.clear()
	}
	e.report()
}

// AbortStreamAfter cuts the connection of the next stream after n tokens.
func (e *Engine) AbortStreamAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dieAfter = n
}

// SetLeaving sets what the load report says.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.report()
}

// report records the present load. The caller holds the lock.
func (e *Engine) report() {
	e.reports.add(cicadapitch.LoadReport{
		Running: e.running,
		Waiting: len(e.waiting),
		Cold:    e.coldLeft > 0,
		Leaving: e.leaving,
	})
}

// MakeWarm ends the cold start.
func (e *Engine) MakeWarm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldLeft = 0
	e.report()
}
