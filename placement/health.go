package placement

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

const (
	// failureWeight is the weight of the newest call in the failure rate.
	failureWeight = 0.25
	// failureMemory is the time constant with which failures are forgotten, so
	// that an endpoint is tried again.
	failureMemory cicadapitch.Millis = 3000
	// ejectFrom is the failure rate from which an endpoint gets work only where
	// there is no other.
	ejectFrom = 0.4
	// latencyWeight is the weight of the newest call in the latency.
	latencyWeight = 0.3
	// latencyMemory is the time constant with which a latency is forgotten.
	latencyMemory cicadapitch.Millis = 4000
)

// Health is how an endpoint did lately.
type Health struct {
	failures float64
	latency  float64
	seen     cicadapitch.Instant
	// Running counts this host's calls.
	Running int
	// tokens bound the rate of calls, as of filled.
	tokens float64
	filled cicadapitch.Instant
}

func (h *Health) fade(now cicadapitch.Instant, memory cicadapitch.Millis) float64 {
	return math.Exp(-float64(max(now.Sub(h.seen), 0)) / float64(memory))
}

// Failures returns the faded failure rate.
func (h *Health) Failures(now cicadapitch.Instant) float64 {
	return h.failures * h.fade(now, failureMemory)
}

// Latency returns the faded latency in milliseconds.
func (h *Health) Latency(now cicadapitch.Instant) float64 {
	return h.latency * h.fade(now, latencyMemory)
}

// Succeeded records a good call and its latency.
func (h *Health) Succeeded(now cicadapitch.Instant, took cicadapitch.Millis) {
	h.failures = (1 - failureWeight) * h.Failures(now)
	old := h.Latency(now)
	h.latency = old + latencyWeight*(float64(took)-old)
	h.seen = now
}

// Failed records a failed call. weight lies between 0 and 1: a lost connection
// weighs 1, a single refusal little.
func (h *Health) Failed(now cicadapitch.Instant, weight float64) {
	w := failureWeight + (1-failureWeight)*weight*0.5
	h.failures = (1-w)*h.Failures(now) + w
	h.latency = h.Latency(now)
	h.seen = now
}

// Ejected reports whether the endpoint gets work only where there is no other.
func (h *Health) Ejected(now cicadapitch.Instant) bool { return h.Failures(now) >= ejectFrom }

// allowed reports whether a call may start at a rate of perSecond calls: within
// any second no more than perSecond and burst calls start.
func (h *Health) allowed(now cicadapitch.Instant, perSecond, burst float64) bool {
	h.fill(now, perSecond, burst)
	return h.tokens >= 1
}

func (h *Health) fill(now cicadapitch.Instant, perSecond, burst float64) {
	if h.filled == 0 {
		h.tokens = burst
	}
	h.tokens = min(burst, h.tokens+perSecond*float64(now.Sub(h.filled))/float64(cicadapitch.Second))
	h.filled = now
}

func (h *Health) count() { h.tokens-- }
