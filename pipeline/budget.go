package pipeline

// Budget is a token bucket that bounds retries and hedges to a share of the
// requests. A burst of failures can spend what has been saved and no more.
type Budget struct {
	Ratio float64
	Cap   float64
	Saved float64
}

// NewBudget returns a full budget that gains ratio for each request.
func NewBudget(ratio, limit float64) Budget {
	return Budget{Ratio: ratio, Cap: limit, Saved: limit}
}

// Earn returns the budget after a request.
func (b Budget) Earn() Budget {
	b.Saved = min(b.Saved+b.Ratio, b.Cap)
	return b
}

// Spend returns the budget after a retry or hedge, or false where none is left.
func (b Budget) Spend() (Budget, bool) {
	if b.Saved < 1 {
		return b, false
	}
	b.Saved--
	return b, true
}
