package customer

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

// Throttle refuses a customer's requests at the entry once the endpoints'
// owners refuse much of its work, so that no early stage is run in vain. It
// lets through little more than what was accepted lately, which is how it
// notices that capacity has come back.
//
// One Throttle serves one customer at one stage. Its zero value refuses nothing.
type Throttle struct {
	sent     float64
	accepted float64
	at       cicadapitch.Instant
	after    cicadapitch.Millis
	// refused is when the last work was refused.
	refused cicadapitch.Instant
}

const (
	// throttleHalfLife is the span after which an outcome counts half.
	throttleHalfLife = 2 * cicadapitch.Second
	// throttleExcess is how much more than was accepted is let through.
	throttleExcess = 1.05
	// throttleFade is the span in which a refusal loses its effect. It bounds
	// the time in which requests are refused after capacity has come back.
	throttleFade = 5 * cicadapitch.Second
	// throttleFew is the number of outcomes below which nothing is refused.
	throttleFew = 4
	// minThrottleRetry is the shortest time to come back.
	minThrottleRetry cicadapitch.Millis = 100
)

// Accepted returns the throttle after the work of a request was taken up.
func (t Throttle) Accepted(now cicadapitch.Instant) Throttle {
	t = t.decay(now)
	t.sent++
	t.accepted++
	return t
}

// Refused returns the throttle after the work of a request was refused with a
// time to come back.
func (t Throttle) Refused(now cicadapitch.Instant, after cicadapitch.Millis) Throttle {
	t = t.decay(now)
	t.sent++
	t.after = max(after, minThrottleRetry)
	t.refused = now
	return t
}

// Refuse decides on a new request. It returns the throttle afterwards, when to
// come back and whether the request is refused. The random number lies in
// [0, 1).
func (t Throttle) Refuse(now cicadapitch.Instant, random float64) (Throttle, cicadapitch.Millis, bool) {
	t = t.decay(now)
	if t.sent < throttleFew {
		return t, 0, false
	}
	fresh := max(1-float64(now.Sub(t.refused))/float64(throttleFade), 0)
	if random >= fresh*(t.sent-throttleExcess*t.accepted)/(t.sent+1) {
		return t, 0, false
	}
	t.sent++
	return t, t.after, true
}

// Contended is true while a refusal of the customer's work has not lost its
// effect. Other customers' queues are no reason to refuse it before.
func (t Throttle) Contended(now cicadapitch.Instant) bool {
	return t.after > 0 && now.Sub(t.refused) < throttleFade
}

func (t Throttle) decay(now cicadapitch.Instant) Throttle {
	if now > t.at {
		f := math.Exp2(-float64(now.Sub(t.at)) / float64(throttleHalfLife))
		t.sent *= f
		t.accepted *= f
		t.at = now
	}
	return t
}
