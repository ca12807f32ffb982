package peer

import (
	"context"
	"sync"
)

// credit is what the reader of a stream still allows its writer to send.
type credit struct {
	mu    sync.Mutex
	bytes int64
	more  chan struct{}
}

func newCredit(bytes uint64) *credit {
	return &credit{bytes: int64(min(bytes, maxCredit)), more: make(chan struct{}, 1)}
}

// maxCredit keeps a peer from overflowing the count.
const maxCredit = 1 << 40

// spend waits until there is any credit left and takes n of it. One item may
// overdraw, so that items larger than the window pass.
func (c *credit) spend(ctx context.Context, n int) error {
	for !c.trySpend(n) {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-c.more:
		}
	}
	return nil
}

func (c *credit) trySpend(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bytes <= 0 {
		return false
	}
	c.bytes -= int64(n)
	return true
}

func (c *credit) grant(n uint64) {
	c.mu.Lock()
	c.bytes = min(c.bytes+int64(min(n, maxCredit)), maxCredit)
	c.mu.Unlock()
	select {
	case c.more <- struct{}{}:
	default:
	}
}
