package batch

import (
	"math"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

const (
	// slowThreshold is the ratio of actual to expected call time from which an
	// endpoint counts as slow. The ratios of endpoints at normal speed differ by
	// much less from stage to stage.
	slowThreshold = 1.5
	// busyThreshold replaces slowThreshold for calls to be overdue while calls are full: the pieces then take the
	// places of others, and a call that takes up to 2.5 times as long as on machines that are shared with
	// others ends before another one would.
	busyThreshold = 3.0
	// overdueSlack is added to the expected time before a call is overdue, for
	// transit and for fetching the inputs.
	overdueSlack cicadapitch.Millis = 80
	// slowdownTimeConstant is the time constant with which the slowdown of an
	// idle endpoint decays, so that a slow endpoint gets calls again.
	slowdownTimeConstant cicadapitch.Millis = 2500
	// minBackoff and maxBackoff limit the pause of an endpoint after a failed
	// call. The pause doubles with each consecutive failure.
	minBackoff cicadapitch.Millis = 200
	maxBackoff cicadapitch.Millis = 2000
	// refusedBackoff is the pause after a refused call. The endpoint was busy
	// with a call that this planner did not start.
	refusedBackoff cicadapitch.Millis = 40
	// noMemoryBackoff is the pause of an endpoint after it had no memory for a
	// result. It is about the time that an engine takes to fetch results.
	noMemoryBackoff cicadapitch.Millis = 100
)

// inFlightCall is a call that has not ended.
type inFlightCall struct {
	Call
	started cicadapitch.Instant
	// slowdown is that of the endpoint when the call started.
	slowdown float64
	// overdue is set once the pieces were put back into the queue.
	overdue bool
}

// endpointState is what the planner knows about one endpoint.
type endpointState struct {
	catalog.Endpoint
	calls map[CallID]*inFlightCall
	// slowdown is the smoothed ratio of actual to expected call time, at least 1,
	// as of slowdownAt. Both are updated when a call starts, when it is found overdue
	// and when it ends with results.
	slowdown   float64
	slowdownAt cicadapitch.Instant
	// pace is the lasting pace of the endpoint by its own figures.
	pace pace
	// backoff is the length of the last pause after a failed call. The endpoint
	// gets no call before backoffUntil.
	backoff      cicadapitch.Millis
	backoffUntil cicadapitch.Instant
	// resultMemoryUsed is the part of the endpoint's result memory that is
	// taken by the results that it holds and that its running calls will produce.
	// The whole is BatchSpec.ResultCapacity.
	resultMemoryUsed cicadapitch.Bytes
	// removed is set when the endpoint is no longer in the view but still runs
	// calls.
	removed bool
	// callRate is the calls a second that the endpoint may get by the limit that it has
	// named, or 0 if it has none. A negative rate allows none.
	callRate float64
	// pausedUntil is when the endpoint takes calls of this host again, by its own word.
	pausedUntil cicadapitch.Instant
	// promptAt is when the last call ended, if it took about the expected time, so that no calls of
	// another owner ran at the endpoint, or 0.
	promptAt cicadapitch.Instant
	// noMemoryAt is when the endpoint last had no memory for a result, or 0.
	noMemoryAt cicadapitch.Instant
	// lastStart is when the last call started.
	lastStart cicadapitch.Instant
	// memoryWaitSince is when the endpoint began to wait for result memory to be
	// freed, or 0 if it does not wait.
	memoryWaitSince cicadapitch.Instant
}

func newEndpointState(e catalog.Endpoint) *endpointState {
	return &endpointState{Endpoint: e, calls: map[CallID]*inFlightCall{}, slowdown: 1}
}

// currentSlowdown returns the factor by which a call is expected to take longer than normal. The endpoint's lasting
// pace stands for it where it is known, unless calls take so much longer that noise does not explain it.
func (s *endpointState) currentSlowdown(now cicadapitch.Instant) float64 {
	slowdown := s.measuredSlowdown(now)
	factor, ok := s.pace.known(now)
	if !ok {
		return slowdown
	}
	if slowdown < busyThreshold {
		slowdown = 1
	}
	return factor * slowdown
}

// measuredSlowdown returns the slowdown after its decay until now.
func (s *endpointState) measuredSlowdown(now cicadapitch.Instant) float64 {
	idle := float64(now.Sub(s.slowdownAt)) / float64(slowdownTimeConstant)
	return 1 + (s.slowdown-1)*math.Exp(-max(idle, 0))
}

// recordSlowdown adds the ratio of actual to expected time of an ended call.
func (s *endpointState) recordSlowdown(now cicadapitch.Instant, ratio float64) {
	const weight = 0.5
	s.slowdown = (1-weight)*s.measuredSlowdown(now) + weight*max(ratio, 1)
	s.slowdownAt = now
}

// canStart reports whether the endpoint can start a call now.
func (s *endpointState) canStart(now cicadapitch.Instant, slots int) bool {
	return !s.removed && len(s.calls) < slots && now >= s.backoffUntil && s.limitWait(now) <= 0
}

// limitWait returns the time until the endpoint takes a call, by the limit that it has named
// and the pause that it asked for.
func (s *endpointState) limitWait(now cicadapitch.Instant) cicadapitch.Millis {
	switch {
	case now < s.pausedUntil:
		return s.pausedUntil.Sub(now)
	case s.callRate < 0:
		return maxBackoff
	case s.callRate == 0 || s.lastStart == 0:
		return 0
	}
	return s.lastStart.Add(cicadapitch.Millis(float64(cicadapitch.Second) / s.callRate)).Sub(now)
}

// timeUntilFree estimates the time until the endpoint can start a call. If no slot
// is free, that is the time until the last of its running calls is expected to end.
func (s *endpointState) timeUntilFree(now cicadapitch.Instant, slots int) cicadapitch.Millis {
	wait := max(s.backoffUntil.Sub(now), s.limitWait(now), 0)
	if len(s.calls) < slots {
		return wait
	}
	for _, c := range s.calls {
		end := c.started.Add(cicadapitch.Millis(float64(c.ExpectedDuration) * s.slowdown))
		wait = max(wait, end.Sub(now))
	}
	return wait
}

// startBackoff pauses the endpoint after a failed call.
func (s *endpointState) startBackoff(now cicadapitch.Instant) {
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.backoffUntil = now.Add(s.backoff)
}
