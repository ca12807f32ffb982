package customer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
)

// sendRequests sends n requests, 10 ms apart, through the throttle to a pool. The
// pool accepts each acceptEvery-th admitted request. sendRequests returns the
// number of admitted requests, or -1 if a refusal had no retry delay.
func sendRequests(t customer.Throttle, now cicadapitch.Instant, n, acceptEvery int) (customer.Throttle, int) {
	admitted := 0
	for i := range n {
		now = now.Add(10)
		next, after, refuse := t.DecideRefusal(now, float64(i%100)/100)
		t = next
		switch {
		case refuse && after <= 0:
			return t, -1
		case refuse:
		case admitted%acceptEvery == 0:
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
	_, admitted := sendRequests(customer.Throttle{}, 0, 1000, 1)
	require.Equal(t, 1000, admitted)
}

func TestThrottleRefusesMostRequestsUnderOverload(t *testing.T) {
	th, _ := sendRequests(customer.Throttle{}, 0, 1000, 10)
	_, admitted := sendRequests(th, 10_000, 1000, 10)
	require.Positive(t, admitted, "some requests must be admitted to detect free capacity")
	require.Less(t, admitted, 500)
}

func TestThrottleAdmitsAllAfterCapacityReturns(t *testing.T) {
	th, _ := sendRequests(customer.Throttle{}, 0, 1000, 10)
	th, _ = sendRequests(th, 10_000, 3000, 1)
	_, admitted := sendRequests(th, 40_000, 1000, 1)
	require.Equal(t, 1000, admitted)
}
