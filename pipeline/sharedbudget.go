package pipeline

import "sync"

// SharedRetryBudget is a Budget that many requests use at the same time. Its zero
// value allows nothing.
type SharedRetryBudget struct {
	mu    sync.Mutex
	state RetryBudget
}

// Set replaces the budget by a full one.
func (b *SharedRetryBudget) Set(ratio, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = NewRetryBudget(ratio, limit)
}

// Deposit counts a request.
func (b *SharedRetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = b.state.Deposit()
}

// Withdraw takes a retry or hedge from the budget and returns false where none is
// left.
func (b *SharedRetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ok bool
	b.state, ok = b.state.Withdraw()
	return ok
}
