package standin

import (
	"sync"

	"cicadapitch.example/cicadapitch"
)

// Run is one piece of work that an endpoint started.
type Run struct {
	// Attempt is the attempt id in its text form.
	Attempt  string
	Customer cicadapitch.CustomerID
	Started  cicadapitch.Instant
	// Ended is 0 while the work runs.
	Ended cicadapitch.Instant
	// Concurrent counts the work that ran at the start, this one included.
	Concurrent  int
	ColdAtStart bool
	// Completed is true once the whole answer was written.
	Completed bool
}

// record keeps what an endpoint ran.
type record struct {
	clock   cicadapitch.Clock
	mu      sync.Mutex
	runs    []Run
	running int
}

func (r *record) start(attempt string, customer cicadapitch.CustomerID, cold bool) int {
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

func (r *record) end(i int, completed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.runs[i].Ended = r.clock.Now()
	r.runs[i].Completed = completed
}

// Runs returns all work that was started, in the order of the starts.
func (r *record) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run{}, r.runs...)
}
