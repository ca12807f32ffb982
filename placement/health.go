package placement

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

const (
	// failureWeight is the weight of the newest call in the failure rate.
	failureWeight = 0.25
	// failureTimeConstant is the time constant with which the failure rate
	// decays, so that a failing endpoint is tried again.
	failureTimeConstant cicadapitch.Millis = 3000
	// ejectThreshold is the failure rate from which an endpoint is ejected: it
	// gets calls only if no other endpoint may get one.
	ejectThreshold = 0.4
	// latencyWeight is the weight of the newest call in the latency.
	latencyWeight = 0.3
	// latencyTimeConstant is the time constant with which the latency decays.
	latencyTimeConstant cicadapitch.Millis = 4000
)

// Health is this host's view of one endpoint: the recent failure rate and latency,
// the host's running calls there and the rate limit for its calls.
type Health struct {
	failureRate float64
	latency     float64
	updatedAt   cicadapitch.Instant
	// Running is the number of this host's running calls.
	Running int
	// tokens is the content of the token bucket that limits the rate of calls, as
	// of refilledAt.
	tokens     float64
	refilledAt cicadapitch.Instant
	// pausedUntil is when the endpoint takes calls of this host again, by its own word.
	pausedUntil cicadapitch.Instant
}

// Pause keeps this host's calls away from the endpoint until an instant.
func (h *Health) Pause(until cicadapitch.Instant) { h.pausedUntil = max(h.pausedUntil, until) }

// decay returns the factor by which a value has decayed since updatedAt.
func (h *Health) decay(now cicadapitch.Instant, timeConstant cicadapitch.Millis) float64 {
	return math.Exp(-float64(max(now.Sub(h.updatedAt), 0)) / float64(timeConstant))
}

// FailureRate returns the smoothed failure rate, from 0 to 1. It decays while there
// are no calls.
func (h *Health) FailureRate(now cicadapitch.Instant) float64 {
	return h.failureRate * h.decay(now, failureTimeConstant)
}

// Latency returns the smoothed latency in milliseconds. It decays to 0 while there
// are no calls, so that a slow endpoint is tried again.
func (h *Health) Latency(now cicadapitch.Instant) float64 {
	return h.latency * h.decay(now, latencyTimeConstant)
}

// RecordSuccess records a successful call that took the given time.
func (h *Health) RecordSuccess(now cicadapitch.Instant, took cicadapitch.Millis) {
	h.failureRate = (1 - failureWeight) * h.FailureRate(now)
	previous := h.Latency(now)
	h.latency = previous + latencyWeight*(float64(took)-previous)
	h.updatedAt = now
}

// RecordFailure records a failed call. weight, from 0 to 1, is how strongly the
// failure counts: 1 for a lost connection, less for a refusal.
func (h *Health) RecordFailure(now cicadapitch.Instant, weight float64) {
	// The weight of the newest call is between failureWeight and halfway to 1.
	newest := failureWeight + (1-failureWeight)*weight*0.5
	h.failureRate = (1-newest)*h.FailureRate(now) + newest
	h.latency = h.Latency(now)
	h.updatedAt = now
}

// Ejected reports whether the failure rate is so high that the endpoint gets calls
// only if no other endpoint may get one.
func (h *Health) Ejected(now cicadapitch.Instant) bool {
	// The rate only decays, so that most endpoints need no exponential.
	return h.failureRate >= ejectThreshold && h.FailureRate(now) >= ejectThreshold
}

// allowed reports whether a call may start now. At most perSecond+burst calls
// start in any second.
func (h *Health) allowed(now cicadapitch.Instant, perSecond, burst float64) bool {
	h.refill(now, perSecond, burst)
	return h.tokens >= 1
}

// refill adds the tokens of the time since the last refill. The bucket starts
// full.
func (h *Health) refill(now cicadapitch.Instant, perSecond, burst float64) {
	if h.refilledAt == 0 {
		h.tokens = burst
	}
	h.tokens = min(burst, h.tokens+perSecond*float64(now.Sub(h.refilledAt))/float64(cicadapitch.Second))
	h.refilledAt = now
}

// takeToken takes a token. Without a rate limit there may be none; the debt is bounded, so
// that it does not outlast the beginning of one.
func (h *Health) takeToken() { h.tokens = max(h.tokens-1, -1) }
