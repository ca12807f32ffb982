package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/catalog"
)

// TestRouteRanksRequestsOfOneCustomerPriority guards against customers' priorities that hide which of their
// requests are urgent: with all customers at one priority, the most urgent kind was served least.
func TestRouteRanksRequestsOfOneCustomerPriority(t *testing.T) {
	require.Less(t, catalog.Rank(1, 0), catalog.Rank(1, 1))
	require.Less(t, catalog.Rank(1, 1), catalog.Rank(1, 2))
	require.Less(t, catalog.Rank(0, 2), catalog.Rank(1, 0), "the customer's priority precedes that of the route")
}

// TestRankOfUnusualPriorities guards against priorities out of range, which the configuration may hold.
func TestRankOfUnusualPriorities(t *testing.T) {
	for _, p := range []int{-1 << 62, -1, 0, 1, 2, 3, 1 << 62} {
		for _, r := range []int{-1 << 62, 0, 9, 1 << 62} {
			rank := catalog.Rank(p, r)
			require.GreaterOrEqual(t, rank, 0)
			require.Less(t, rank, catalog.Ranks)
		}
	}
	require.Equal(t, catalog.Ranks-1, catalog.Rank(7, 7))
}
