package cicadapitch

import (
	"context"
	"sync"
	"time"
)

// Millis is a duration in milliseconds.
type Millis int64

// Instant is a point in time in milliseconds since the Unix epoch. The
// instants that one clock returns never decrease.
type Instant int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Add returns i + m.
func (i Instant) Add(m Millis) Instant { return i + Instant(m) }

// Sub returns the duration i - o.
func (i Instant) Sub(o Instant) Millis { return Millis(i - o) }

// MillisOf converts d to milliseconds and drops the fraction of a millisecond.
func MillisOf(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock provides the current time and a context-aware sleep. Decision logic
// takes instants as arguments so that it is deterministic; only the code that
// executes the decisions holds a Clock.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
	// Sleep waits for m and returns nil. If ctx ends first, it returns
	// ctx.Err().
	Sleep(ctx context.Context, m Millis) error
}

// SystemClock is a Clock that follows the monotonic clock of the machine.
type SystemClock struct{ start time.Time }

// NewSystemClock returns a clock that starts at the current wall-clock time.
// Later adjustments of the wall clock don't affect it.
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

// ManualClock is a Clock for tests and benchmarks. Its time changes only through
// Advance.
type ManualClock struct {
	mu  sync.Mutex
	now Instant
	// sleepers maps the channel that wakes each pending Sleep to its due time.
	sleepers map[chan struct{}]Instant
}

// NewManualClock returns a clock whose current time is start.
func NewManualClock(start Instant) *ManualClock {
	return &ManualClock{now: start, sleepers: make(map[chan struct{}]Instant)}
}

// Now implements Clock.
func (c *ManualClock) Now() Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Sleep implements Clock. It returns once Advance has moved the clock forward by
// at least m in total.
func (c *ManualClock) Sleep(ctx context.Context, m Millis) error {
	if m <= 0 {
		return ctx.Err()
	}
	ch := c.addSleeper(m)
	select {
	case <-ctx.Done():
		c.removeSleeper(ch)
		return ctx.Err()
	case <-ch:
		return nil
	}
}

// Advance moves the clock forward by m and wakes every sleeper that is due.
func (c *ManualClock) Advance(m Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(m)
	for ch, due := range c.sleepers {
		if due <= c.now {
			close(ch)
			delete(c.sleepers, ch)
		}
	}
}

// addSleeper returns a channel that Advance closes once m has passed.
func (c *ManualClock) addSleeper(m Millis) chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan struct{})
	c.sleepers[ch] = c.now.Add(m)
	return ch
}

func (c *ManualClock) removeSleeper(ch chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sleepers, ch)
}
