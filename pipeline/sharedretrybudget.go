package pipeline

import "sync"

// SharedRetryBudget is a RetryBudget that is safe for concurrent use. Its zero
// value allows no retries.
type SharedRetryBudget struct {
	mu    sync.Mutex
	state RetryBudget
}

// Set replaces the budget with a full one of limit tokens, to which each
// request adds ratio tokens.
func (b *SharedRetryBudget) Set(ratio, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = NewRetryBudget(ratio, limit)
}

// Deposit adds the tokens of one request.
func (b *SharedRetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = b.state.Deposit()
}

// Withdraw takes the token of one retry or hedge. It returns false if less than
// one is left; the retry or hedge must then not be sent.
func (b *SharedRetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ok bool
	b.state, ok = b.state.Withdraw()
	return ok
}
