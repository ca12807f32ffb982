package standin

import (
	"context"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// silence keeps an endpoint from sending anything for a while. The zero value does not.
type silence struct {
	mu    sync.Mutex
	until cicadapitch.Instant
}

// begin makes the endpoint silent until an instant.
func (s *silence) begin(until cicadapitch.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = until
}

// wait waits for the end of the silence. The error is that of ctx.
func (s *silence) wait(ctx context.Context, clock cicadapitch.Clock) error {
	if left := s.left(clock); left > 0 {
		return clock.Sleep(ctx, left)
	}
	return nil
}

// left returns how long the silence still lasts. It is not positive if there is none.
func (s *silence) left(clock cicadapitch.Clock) cicadapitch.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.until.Sub(clock.Now())
}

// FallSilent makes the engine send nothing for m milliseconds, in all answers, and go on then.
func (e *Engine) FallSilent(m cicadapitch.Millis) { e.silence.begin(e.clock.Now().Add(m)) }

// FallSilent makes the service send nothing for m milliseconds, in all answers, and go on then.
func (s *Service) FallSilent(m cicadapitch.Millis) { s.silence.begin(s.clock.Now().Add(m)) }
