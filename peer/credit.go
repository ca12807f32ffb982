package peer

import (
	"context"
	"sync"
)

// credit counts the bytes of items that the reader of a stream allows its
// writer to send.
type credit struct {
	mu        sync.Mutex
	available int64
	// granted wakes the writer after a grant.
	granted chan struct{}
}

func newCredit(bytes uint64) *credit {
	return &credit{available: int64(min(bytes, maxCreditBytes)), granted: make(chan struct{}, 1)}
}

// maxCreditBytes bounds the available bytes, so that a peer cannot overflow the
// count.
const maxCreditBytes = 1 << 40

// spend waits until any credit is available, then subtracts n bytes. The
// balance may become negative, so that an item larger than the window can be
// sent. If ctx ends first, spend returns the cause of ctx.
func (c *credit) spend(ctx context.Context, n int) error {
	for !c.trySpend(n) {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-c.granted:
		}
	}
	return nil
}

// trySpend subtracts n bytes and returns true, or returns false without credit.
func (c *credit) trySpend(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.available <= 0 {
		return false
	}
	c.available -= int64(n)
	return true
}

// grant adds n bytes.
func (c *credit) grant(n uint64) {
	c.mu.Lock()
	c.available = min(c.available+int64(min(n, maxCreditBytes)), maxCreditBytes)
	c.mu.Unlock()
	select {
	case c.granted <- struct{}{}:
	default:
	}
}
