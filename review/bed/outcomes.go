package bed

import (
	"context"
	"fmt"
	"io"
	"sync"
)

// Outcomes counts answers by their outcome.
type Outcomes struct {
	mu sync.Mutex
	n  map[string]int
}

// NewOutcomes returns Outcomes without any.
func NewOutcomes() *Outcomes { return &Outcomes{n: map[string]int{}} }

// Add counts an outcome.
func (o *Outcomes) Add(outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.n[outcome]++
}

// Count returns how often an outcome was counted.
func (o *Outcomes) Count(outcome string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.n[outcome]
}

// String returns the number of each outcome.
func (o *Outcomes) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprint(o.n)
}

// AskForStream requests a stream, reads it to its end and returns the outcome.
func AskForStream(h *Host) string {
	resp, err := Send(context.Background(), h.Address(), NewStreamRequest())
	if err != nil {
		return "no answer"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken off"
	}
	return resp.Status
}
