package pipeline_test

import (
	"testing"

	"cicadapitch.example/cicadapitch/pipeline"
	"github.com/stretchr/testify/require"
)

func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := pipeline.NewRetryBudget(0.1, 10)
	retries := 0
	for range 10_000 {
		b = b.Deposit()
		for {
			next, ok := b.Withdraw()
			if !ok {
				break
			}
			b = next
			retries++
		}
	}
	require.LessOrEqual(t, retries, 10_000/10+10)
}
