package customer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
)

// offer sends n requests, 10 ms apart, to a pool that accepts one of every
// `every` requests. It returns the number that the throttle admitted, or -1 if
// a refusal had no retry delay.
func offer(t customer.Throttle, now cicadapitch.Instant, n, every int) (customer.Throttle, int) {
	admitted := 0
	for i := range n {
		now = now.Add(10)
		next, after, refuse := t.DecideRefusal(now, float64(i%100)/100)
		t = next
		switch {
		case refuse && after <= 0:
			return t, -1
		case refuse:
		case admitted%every == 0:
			admitted++
			t = t.RecordAccepted(now)
		default:
			admitted++
			t = t.RecordRefused(now, 50)
		}
	}
	return t, admitted
}

func TestThrottleAdmitsAllWithoutRefusals(t *testing.T) {
	_, admitted := offer(customer.Throttle{}, 0, 1000, 1)
	require.Equal(t, 1000, admitted)
}

func TestThrottleRefusesMostRequestsUnderOverload(t *testing.T) {
	th, _ := offer(customer.Throttle{}, 0, 1000, 10)
	_, admitted := offer(th, 10_000, 1000, 10)
	require.Positive(t, admitted, "some requests must be admitted to detect free capacity")
	require.Less(t, admitted, 500)
}

func TestThrottleAdmitsAllAfterCapacityReturns(t *testing.T) {
	th, _ := offer(customer.Throttle{}, 0, 1000, 10)
	th, _ = offer(th, 10_000, 3000, 1)
	_, admitted := offer(th, 40_000, 1000, 1)
	require.Equal(t, 1000, admitted)
}
