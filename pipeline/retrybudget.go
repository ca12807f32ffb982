package pipeline

// RetryBudget is a token bucket that limits retries and hedges to a ratio of
// the requests. A burst of failures can use up the balance but not more.
type RetryBudget struct {
	// Ratio is the number of tokens that each request adds.
	Ratio float64
	// Cap is the largest balance.
	Cap float64
	// Balance is the number of tokens left. A retry or hedge takes one.
	Balance float64
}

// NewRetryBudget returns a full budget of limit tokens, to which each request
// adds ratio tokens.
func NewRetryBudget(ratio, limit float64) RetryBudget {
	return RetryBudget{Ratio: ratio, Cap: limit, Balance: limit}
}

// Deposit returns the budget after a further request.
func (b RetryBudget) Deposit() RetryBudget {
	b.Balance = min(b.Balance+b.Ratio, b.Cap)
	return b
}

// Withdraw returns the budget after a retry or hedge. It returns false if less
// than one token is left; the retry or hedge must then not be sent.
func (b RetryBudget) Withdraw() (RetryBudget, bool) {
	if b.Balance < 1 {
		return b, false
	}
	b.Balance--
	return b, true
}
