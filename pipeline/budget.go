package pipeline

// RetryBudget is a token bucket that bounds retries and hedges to a share of the
// requests. A burst of failures can spend what has been saved and no more.
type RetryBudget struct {
	Ratio float64
	Cap   float64
	Balance float64
}

// NewRetryBudget returns a full budget that gains ratio for each request.
func NewRetryBudget(ratio, limit float64) RetryBudget {
	return RetryBudget{Ratio: ratio, Cap: limit, Balance: limit}
}

// Deposit returns the budget after a request.
func (b RetryBudget) Deposit() RetryBudget {
	b.Balance = min(b.Balance+b.Ratio, b.Cap)
	return b
}

// Withdraw returns the budget after a retry or hedge, or false where none is left.
func (b RetryBudget) Withdraw() (RetryBudget, bool) {
	if b.Balance < 1 {
		return b, false
	}
	b.Balance--
	return b, true
}
