package customer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
)

// offer sends n requests, 10 ms apart, to a pool that takes one in every.
func offer(t customer.Throttle, now cicadapitch.Instant, n, every int) (customer.Throttle, int) {
	passed := 0
	for i := range n {
		now = now.Add(10)
		next, after, refuse := t.Refuse(now, float64(i%100)/100)
		t = next
		switch {
		case refuse && after <= 0:
			return t, -1
		case refuse:
		case passed%every == 0:
			passed++
			t = t.Accepted(now)
		default:
			passed++
			t = t.Refused(now, 50)
		}
	}
	return t, passed
}

func TestThrottleRefusesNothingWithoutRefusals(t *testing.T) {
	_, passed := offer(customer.Throttle{}, 0, 1000, 1)
	require.Equal(t, 1000, passed)
}

func TestThrottleHoldsBackWhatWouldBeRefused(t *testing.T) {
	th, _ := offer(customer.Throttle{}, 0, 1000, 10)
	_, passed := offer(th, 10_000, 1000, 10)
	require.Positive(t, passed, "requests that would find capacity again")
	require.Less(t, passed, 500)
}

func TestThrottleLetsGoWhenCapacityIsBack(t *testing.T) {
	th, _ := offer(customer.Throttle{}, 0, 1000, 10)
	th, _ = offer(th, 10_000, 3000, 1)
	_, passed := offer(th, 40_000, 1000, 1)
	require.Equal(t, 1000, passed)
}
