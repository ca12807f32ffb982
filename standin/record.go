package standin

import (
	"sync"

	"cicadapitch.example/cicadapitch"
)

// Run is the record of one request that an endpoint started to process.
type Run struct {
	// Attempt is the attempt id in its text form.
	Attempt  string
	Customer cicadapitch.CustomerID
	Started  cicadapitch.Instant
	// Ended is 0 while the run is in progress.
	Ended cicadapitch.Instant
	// Concurrent is the number of runs in progress at the start, including this
	// one.
	Concurrent  int
	ColdAtStart bool
	// Completed is true once the whole answer has been written.
	Completed bool
}

// runRecorder records the runs of an endpoint.
type runRecorder struct {
	clock   cicadapitch.Clock
	mu      sync.Mutex
	runs    []Run
	running int
}

// start records the start of a run and returns its index.
func (r *runRecorder) start(attempt string, customer cicadapitch.CustomerID, cold bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running++
	r.runs = append(r.runs, Run{
		Attempt:     attempt,
		Customer:    customer,
		Started:     r.clock.Now(),
		Concurrent:  r.running,
		ColdAtStart: cold,
	})
	return len(r.runs) - 1
}

// end records the end of run i.
func (r *runRecorder) end(i int, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.runs[i].Ended = r.clock.Now()
	r.runs[i].Completed = completed
}

// Runs returns all runs in start order.
func (r *runRecorder) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.runs...)
}
