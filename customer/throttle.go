package customer

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

// Throttle is an adaptive throttle for the requests of one customer at one
// stage. Entry hosts use it to reject requests early when the owners of the
// stage's shards reject much of the customer's work, so that no earlier stage
// runs for nothing. It admits slightly more requests than were accepted
// recently, in order to detect when capacity is available again.
//
// A Throttle is a value: each method returns the updated one. The zero value
// refuses nothing.
type Throttle struct {
	// sent and accepted are decayed counts of requests, as of countedAt.
	sent      float64
	accepted  float64
	countedAt cicadapitch.Instant
	// retryAfter is the retry delay of the last refusal, 0 if there was none.
	retryAfter cicadapitch.Millis
	// refusedAt is the instant of the last refusal.
	refusedAt cicadapitch.Instant
}

const (
	// throttleHalfLife is the time in which the counts decay to half.
	throttleHalfLife = 2 * cicadapitch.Second
	// throttleAdmitRatio is the ratio of admitted to recently accepted
	// requests.
	throttleAdmitRatio = 1.05
	// refusalFadeTime is the time in which the effect of a refusal fades to
	// nothing. It bounds how long requests are refused after capacity is
	// available again.
	refusalFadeTime = 5 * cicadapitch.Second
	// throttleMinRequests is the number of recent requests below which none is
	// refused.
	throttleMinRequests = 4
	// minThrottleRetryAfter is the shortest retry delay.
	minThrottleRetryAfter cicadapitch.Millis = 100
)

// RecordAccepted returns the throttle after an owner accepted the work of a
// request.
func (t Throttle) RecordAccepted(now cicadapitch.Instant) Throttle {
	t = t.decay(now)
	t.sent++
	t.accepted++
	return t
}

// RecordRefused returns the throttle after an owner refused the work of a
// request. RetryAfter is the owner's retry delay.
func (t Throttle) RecordRefused(now cicadapitch.Instant, retryAfter cicadapitch.Millis) Throttle {
	t = t.decay(now)
	t.sent++
	t.retryAfter = max(retryAfter, minThrottleRetryAfter)
	t.refusedAt = now
	return t
}

// DecideRefusal decides whether to refuse a new request, and counts a refused
// request as sent. It returns the updated throttle, the delay after which the
// customer may retry (0 if the request is admitted) and true if the request is
// refused. Random is a random number in [0, 1).
func (t Throttle) DecideRefusal(now cicadapitch.Instant, random float64) (Throttle, cicadapitch.Millis, bool) {
	t = t.decay(now)
	if t.sent < throttleMinRequests {
		return t, 0, false
	}
	recency := max(1-float64(now.Sub(t.refusedAt))/float64(refusalFadeTime), 0)
	if random >= recency*(t.sent-throttleAdmitRatio*t.accepted)/(t.sent+1) {
		return t, 0, false
	}
	t.sent++
	return t, t.retryAfter, true
}

// Contended reports whether an owner has refused the customer's work within
// refusalFadeTime. While it is false, long queues may be due to other customers
// and are no reason to refuse this customer's requests.
func (t Throttle) Contended(now cicadapitch.Instant) bool {
	return t.retryAfter > 0 && now.Sub(t.refusedAt) < refusalFadeTime
}

// decay ages the counts to now.
func (t Throttle) decay(now cicadapitch.Instant) Throttle {
	if now > t.countedAt {
		factor := math.Exp2(-float64(now.Sub(t.countedAt)) / float64(throttleHalfLife))
		t.sent *= factor
		t.accepted *= factor
		t.countedAt = now
	}
	return t
}
