package customer_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
)

func push(q *customer.Queue[int], id cicadapitch.CustomerID, work customer.Work, deadline cicadapitch.Instant) *customer.Item[int] {
	return q.Push(customer.Item[int]{Customer: id, Work: work, Deadline: deadline}, 1)
}

func TestCustomerWithManyEntriesDoesNotStarveOthers(t *testing.T) {
	q := customer.NewQueue[int](0)
	for i := range 1000 {
		push(q, "large", 100, cicadapitch.Instant(i))
	}
	small := []cicadapitch.CustomerID{"a", "b", "c", "d"}
	for _, id := range small {
		for range 10 {
			push(q, id, 100, 1_000_000)
		}
	}
	served := map[cicadapitch.CustomerID]int{}
	for range 50 {
		served[q.Pop().Customer]++
	}
	for _, id := range small {
		require.Equal(t, 10, served[id])
	}
}

func TestSharesApplyToWork(t *testing.T) {
	q := customer.NewQueue[int](0)
	for range 100 {
		push(q, "long", 400, 1)
		push(q, "short", 100, 1)
	}
	served := map[cicadapitch.CustomerID]customer.Work{}
	for range 50 {
		item := q.Pop()
		served[item.Customer] += item.Work
	}
	require.InDelta(t, float64(served["long"]), float64(served["short"]), 400)
}

func TestIdleCapacityIsNotChargedLater(t *testing.T) {
	q := customer.NewQueue[int](0)
	for range 100 {
		push(q, "large", 100, 1)
		q.Pop()
	}
	push(q, "large", 100, 1)
	push(q, "small", 100, 2)
	push(q, "small", 100, 2)
	got := []cicadapitch.CustomerID{q.Pop().Customer, q.Pop().Customer}
	require.Contains(t, got, cicadapitch.CustomerID("large"))
}

func TestEarliestDeadlineFirstWithinQuantum(t *testing.T) {
	q := customer.NewQueue[int](1000)
	push(q, "a", 100, 30)
	push(q, "b", 100, 10)
	push(q, "a", 100, 20)
	var got []cicadapitch.Instant
	for item := q.Pop(); item != nil; item = q.Pop() {
		got = append(got, item.Deadline)
	}
	require.Equal(t, []cicadapitch.Instant{10, 20, 30}, got)
}

// Each entry must leave the queue exactly once, by Pop, Remove or Expire.
func TestEachEntryLeavesTheQueueOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := customer.NewQueue[int](customer.Work(rapid.IntRange(0, 500).Draw(t, "quantum")))
		queued := map[int]*customer.Item[int]{}
		ids := []cicadapitch.CustomerID{"a", "b", "c"}
		for n := range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				id := rapid.SampledFrom(ids).Draw(t, "customer")
				work := customer.Work(rapid.IntRange(1, 300).Draw(t, "work"))
				deadline := cicadapitch.Instant(rapid.IntRange(0, 100).Draw(t, "deadline"))
				queued[n] = q.Push(customer.Item[int]{Value: n, Customer: id, Work: work, Deadline: deadline}, 1)
			case 2:
				item := q.Pop()
				require.Equal(t, len(queued) > 0, item != nil)
				if item != nil {
					require.Contains(t, queued, item.Value)
					delete(queued, item.Value)
				}
			case 3:
				limit := cicadapitch.Instant(rapid.IntRange(0, 100).Draw(t, "limit"))
				q.RemoveFunc(
					func(item *customer.Item[int]) bool { return item.Deadline < limit },
					func(item *customer.Item[int]) { delete(queued, item.Value) },
				)
			}
			require.Equal(t, len(queued), q.Len())
		}
		for _, item := range queued {
			q.Remove(item)
			q.Remove(item)
		}
		require.Zero(t, q.Len())
	})
}

func TestWorkAheadPredictsTheWorkServedFirst(t *testing.T) {
	q := customer.NewQueue[int](0)
	for i := range 100 {
		push(q, "large", 100, cicadapitch.Instant(i))
	}
	for range 3 {
		push(q, "small", 100, 500)
	}
	ahead := q.WorkAhead("small")
	push(q, "small", 100, 1000)
	var served customer.Work
	for item := q.Pop(); item.Deadline != 1000; item = q.Pop() {
		served += item.Work
	}
	require.InDelta(t, float64(served), float64(ahead), 100)
	require.InDelta(t, 0, float64(q.WorkAhead("new")), 100)
}
