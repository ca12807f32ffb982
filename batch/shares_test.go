package batch_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
)

// TestNobodyIsBelowTheirShareWhileOthersAreAbove serves random demands of a few customers, always one below the
// equal share first. A customer that wants more all the time never falls further behind another one that does than by
// the largest jobs of both, whatever the others want, and the endpoint never idles while
// anyone wants work.
func TestNobodyIsBelowTheirShareWhileOthersAreAbove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "customers")
		// Customers up to greedy want more all the time.
		greedy := rapid.IntRange(2, n).Draw(t, "greedy")
		sizes := rapid.SliceOfN(rapid.Float64Range(1, 400), n, n).Draw(t, "sizes")
		shares, now := batch.NewShares(), start
		id := func(i int) cicadapitch.CustomerID { return cicadapitch.CustomerID(fmt.Sprint(i)) }
		for range 600 {
			wanting := map[cicadapitch.CustomerID]bool{}
			for i := range n {
				if i < greedy || rapid.IntRange(0, 9).Draw(t, "wants") == 0 {
					wanting[id(i)] = true
				}
			}
			equal, next := shares.Equal(now, wanting), -1
			// The last customer stands for the one whose jobs are due first: only the share can change the order.
			for i := n - 1; i >= 0; i-- {
				if wanting[id(i)] && (next < 0 || shares.Work(now, id(i)) < equal && shares.Work(now, id(next)) >= equal) {
					next = i
				}
			}
			require.GreaterOrEqual(t, next, 0)
			shares.Charge(now, id(next), sizes[next])
			now = now.Add(cicadapitch.Millis(math.Ceil(sizes[next])))
		}
		least, most, largest := math.Inf(1), 0.0, 0.0
		for i := range greedy {
			least, most = min(least, shares.Work(now, id(i))), max(most, shares.Work(now, id(i)))
		}
		for _, size := range sizes {
			largest = max(largest, size)
		}
		require.LessOrEqual(t, most-least, float64(n)*largest, "one of them is above the equal share while another is below")
	})
}

// TestUnusedSharesGoToOthersAtOnce guards against a customer that is held back by what it had while nobody else wants work.
func TestUnusedSharesGoToOthersAtOnce(t *testing.T) {
	shares := batch.NewShares()
	shares.Charge(start, "busy", 1000)
	require.Less(t, shares.Work(start, "busy"), shares.Equal(start, map[cicadapitch.CustomerID]bool{"busy": true}))
	both := shares.Equal(start, map[cicadapitch.CustomerID]bool{"busy": true, "quiet": true})
	require.Greater(t, shares.Work(start, "busy"), both)
	require.Less(t, shares.Work(start, "quiet"), both)
}
