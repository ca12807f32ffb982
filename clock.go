package cicadapitch

import (
	"context"
	"sync"
	"time"
)

// Millis is a span of time in milliseconds.
type Millis int64

// Instant is a point in time in milliseconds since the Unix epoch. Within one
// process it never goes back.
type Instant int64

// Second and Minute are spans in milliseconds.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// Duration returns the span for the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Add returns the instant m later.
func (i Instant) Add(m Millis) Instant { return i + Instant(m) }

// Sub returns the span from o to i.
func (i Instant) Sub(o Instant) Millis { return Millis(i - o) }

// MillisOf returns d rounded down to milliseconds.
func MillisOf(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock tells the time and waits. Decisions take instants as arguments; only
// the commands around them hold a Clock.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
	// Sleep waits for m or until ctx ends, whose error it then returns.
	Sleep(ctx context.Context, m Millis) error
}

// SystemClock reads the monotonic clock of the machine.
type SystemClock struct{ start time.Time }

// NewSystemClock returns a clock that starts at the wall-clock time and follows
// the monotonic clock from there.
func NewSystemClock() *SystemClock { return &SystemClock{start: time.Now()} }

// Now implements Clock.
func (c *SystemClock) Now() Instant {
	return Instant(c.start.UnixMilli() + time.Since(c.start).Milliseconds())
}

// Sleep implements Clock.
func (c *SystemClock) Sleep(ctx context.Context, m Millis) error {
	if m <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(m.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// ManualClock is a clock that moves only when it is told to. Tests and
// benchmarks use it for virtual time.
type ManualClock struct {
	mu      sync.Mutex
	now     Instant
	waiters map[chan struct{}]Instant
}

// NewManualClock returns a clock that stands at start.
func NewManualClock(start Instant) *ManualClock {
	return &ManualClock{now: start, waiters: make(map[chan struct{}]Instant)}
}

// Now implements Clock.
func (c *ManualClock) Now() Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Sleep implements Clock. It returns once Advance has moved the clock by m.
func (c *ManualClock) Sleep(ctx context.Context, m Millis) error {
	if m <= 0 {
		return ctx.Err()
	}
	ch := c.wait(m)
	select {
	case <-ctx.Done():
		c.forget(ch)
		return ctx.Err()
	case <-ch:
		return nil
	}
}

// Advance moves the clock by m and wakes every sleeper that is due.
func (c *ManualClock) Advance(m Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(m)
	for ch, due := range c.waiters {
		if due <= c.now {
			close(ch)
			delete(c.waiters, ch)
		}
	}
}

func (c *ManualClock) wait(m Millis) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan struct{})
	c.waiters[ch] = c.now.Add(m)
	return ch
}

func (c *ManualClock) forget(ch chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiters, ch)
}
