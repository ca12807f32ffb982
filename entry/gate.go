package entry

import (
	"context"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// drainRetryMillis is when a caller should ask another host.
const drainRetryMillis cicadapitch.Millis = 50

// gate counts the running requests and closes for new ones.
type gate struct {
	mu      sync.Mutex
	running int
	closed  bool
	idle    chan struct{}
}

func newGate() *gate { return &gate{idle: make(chan struct{})} }

func (g *gate) enter() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return &cicadapitch.Error{
			Kind:       cicadapitch.NotRun,
			Reason:     "the host is leaving",
			Remedy:     "send the request to another host",
			RetryAfter: drainRetryMillis,
		}
	}
	g.running++
	return nil
}

// enterAlways counts a request that a leaving host must still see through.
func (g *gate) enterAlways() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running++
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.signal()
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.signal()
}

func (g *gate) signal() {
	if !g.closed || g.running > 0 {
		return
	}
	select {
	case <-g.idle:
	default:
		close(g.idle)
	}
}

func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// Drain refuses new requests and waits until the running ones have ended or ctx
// ends, whose error it then returns. Callers of a run that has already begun
// still get its answer.
func (s *Server) Drain(ctx context.Context) error {
	s.gate.close()
	select {
	case <-s.gate.idle:
		return nil
	case <-ctx.Done():
		return cicadapitch.Wrap(ctx.Err())
	}
}
