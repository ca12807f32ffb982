package client

import (
	"net"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch/pipeline"
)

const keepAlive = 5 * time.Second

// budget bounds repeated sendings.
type budget struct {
	mu    sync.Mutex
	state pipeline.Budget
}

func (b *budget) set(ratio, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = pipeline.NewBudget(ratio, limit)
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = b.state.Earn()
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ok bool
	b.state, ok = b.state.Spend()
	return ok
}

// newDialer notices a dead peer soon, because open connections can go silent.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAlive,
			Interval: keepAlive,
			Count:    2,
		},
	}
}
