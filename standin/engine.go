package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// maxRequestBytes limits the body of a request to an engine or a service.
const maxRequestBytes = 8 << 20

// Engine is a fake model engine with an OpenAI-style completion API.
type Engine struct {
	clock         cicadapitch.Clock
	tokenTime     cicadapitch.Millis
	growth        float64
	slots         cicadapitch.Slots
	coldSlots     cicadapitch.Slots
	warmAfter     int
	checksFencing bool
	reports       delayedReports
	prefill       prefillTimes
	cache         *prefixCache
	weights       *WeightStore
	recorder      runRecorder
	silence       silence
	mux           *http.ServeMux

	mu      sync.Mutex
	running cicadapitch.Slots
	waiting []*waiter
	// completionsToWarm is the number of completions left in a cold start, 0 if
	// the engine is warm.
	completionsToWarm int
	overloads         int
	leaving           bool
	// abortAfter is the number of tokens after which the next stream is
	// aborted, -1 for none.
	abortAfter int
	orders     []cicadapitch.EndpointOrder
	// fencing is the highest fencing number of the orders accepted so far.
	fencing cicadapitch.FencingNumber
	// loadEndsAt is when the latest model load ends.
	loadEndsAt cicadapitch.Instant
}

// NewEngine returns an engine, warm unless WithEngineColdStart is given.
func NewEngine(clock cicadapitch.Clock, opts ...EngineOption) *Engine {
	e := &Engine{clock: clock, slots: 8, coldSlots: 1, warmAfter: 4, abortAfter: -1}
	e.reports.clock = clock
	e.recorder.clock = clock
	for _, opt := range opts {
		opt(e)
	}
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	e.mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		if e.silence.wait(r.Context(), e.clock) == nil {
			writeJSON(w, e.currentLoad())
		}
	})
	e.mux.HandleFunc("POST /orders", e.handleOrder)
	e.mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Record()) })
	e.mux.HandleFunc("POST /faults", e.handleFaults)
	e.recordLoad()
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Record is the body of GET /record of an Engine.
type Record struct {
	Runs      []Run
	Overloads int
	Cold      bool
	Orders    []cicadapitch.EndpointOrder
}

// Record returns everything that the engine has recorded.
func (e *Engine) Record() Record {
	runs := e.recorder.Runs()
	e.mu.Lock()
	defer e.mu.Unlock()
	return Record{
		Runs:      runs,
		Overloads: e.overloads,
		Cold:      e.completionsToWarm > 0,
		Orders:    append([]cicadapitch.EndpointOrder{}, e.orders...),
	}
}

// Runs returns all runs that the engine has started, in start order.
func (e *Engine) Runs() []Run { return e.recorder.Runs() }

// Overloads returns the number of requests that failed because the engine was
// cold and had no free cold slot.
func (e *Engine) Overloads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overloads
}

// EngineFaults is the body of POST /faults of an Engine.
type EngineFaults struct {
	// GoCold puts the engine into a cold start.
	GoCold bool
	// DieAfter aborts the next stream after this number of tokens; 0 leaves the
	// current setting.
	DieAfter int
	// Leaving sets the Leaving flag of the load report. If it is omitted, the
	// flag becomes false.
	Leaving bool
	// SilentMillis is how long the engine sends nothing from now on.
	SilentMillis cicadapitch.Millis
}

// handleFaults serves POST /faults.
func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&f); err != nil {
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
	e.FallSilent(f.SilentMillis)
	writeJSON(w, f)
}

// MakeCold puts the engine into a cold start and clears its prefix cache.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completionsToWarm = e.warmAfter
	if e.cache != nil {
		e.cache.clear()
	}
	e.recordLoad()
}

// AbortStreamAfter makes the engine abort the connection of the next stream
// after n tokens.
func (e *Engine) AbortStreamAfter(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abortAfter = n
}

// SetLeaving sets the Leaving flag of the load report.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.recordLoad()
}

// recordLoad adds the current load to the delayed reports. The caller must hold
// e.mu.
func (e *Engine) recordLoad() {
	e.reports.add(cicadapitch.LoadReport{
		Running: e.running,
		Waiting: len(e.waiting),
		Cold:    e.completionsToWarm > 0,
		Leaving: e.leaving,
	})
}

// MakeWarm ends the cold start.
func (e *Engine) MakeWarm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.completionsToWarm = 0
	e.recordLoad()
}
