package batch

import (
	"math"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

const (
	// slowThreshold is the ratio of actual to expected call time from which an
	// endpoint counts as slow. The differences between stages stay well below it.
	slowThreshold = 1.5
	// overdueSlack is added to the expected time before a call is overdue, for
	// transit and for fetching the inputs.
	overdueSlack cicadapitch.Millis = 80
	// slowdownTimeConstant is the time constant with which the slowdown of an
	// idle endpoint decays, so that it is tried again.
	slowdownTimeConstant cicadapitch.Millis = 2500
	// minBackoff and maxBackoff limit the pause of an endpoint after a failed
	// call. The pause doubles with each consecutive failure.
	minBackoff cicadapitch.Millis = 200
	maxBackoff cicadapitch.Millis = 2000
	// refusedBackoff is the pause after a refused call. The endpoint was busy
	// with a call that this planner did not start.
	refusedBackoff cicadapitch.Millis = 40
	// noRoomBackoff is the pause of an endpoint without room for results, about
	// the time that an engine takes to fetch some.
	noRoomBackoff cicadapitch.Millis = 100
)

// inFlightCall is a call that has not ended.
type inFlightCall struct {
	Call
	started cicadapitch.Instant
	// overdue is set once the pieces were put back into the queue.
	overdue bool
}

// worker is the planner's state of one endpoint.
type worker struct {
	catalog.Endpoint
	calls map[CallID]*inFlightCall
	// slowdown is the smoothed ratio of actual to expected call time, at least 1,
	// as of slowdownAt.
	slowdown   float64
	slowdownAt cicadapitch.Instant
	// backoff is the length of the last pause after a failed call. The endpoint
	// gets no call before backoffUntil.
	backoff      cicadapitch.Millis
	backoffUntil cicadapitch.Instant
	// roomUsed is the size of the results that the endpoint holds or is about to
	// produce.
	roomUsed cicadapitch.Bytes
	// removed is set when the endpoint is no longer in the view but still runs
	// calls.
	removed bool
	// roomWaitSince is when the endpoint began to wait for room, or 0.
	roomWaitSince cicadapitch.Instant
}

func newWorker(e catalog.Endpoint) *worker {
	return &worker{Endpoint: e, calls: map[CallID]*inFlightCall{}, slowdown: 1}
}

// currentSlowdown returns the slowdown after its decay until now.
func (w *worker) currentSlowdown(now cicadapitch.Instant) float64 {
	idle := float64(now.Sub(w.slowdownAt)) / float64(slowdownTimeConstant)
	return 1 + (w.slowdown-1)*math.Exp(-max(idle, 0))
}

// recordSlowdown adds the ratio of actual to expected time of an ended call.
func (w *worker) recordSlowdown(now cicadapitch.Instant, ratio float64) {
	const weight = 0.5
	w.slowdown = (1-weight)*w.currentSlowdown(now) + weight*max(ratio, 1)
	w.slowdownAt = now
}

// canStart reports whether the endpoint can start a call now.
func (w *worker) canStart(now cicadapitch.Instant, slots int) bool {
	return !w.removed && len(w.calls) < slots && now >= w.backoffUntil
}

// timeUntilFree estimates the time until the endpoint can start another call.
func (w *worker) timeUntilFree(now cicadapitch.Instant, slots int) cicadapitch.Millis {
	wait := max(w.backoffUntil.Sub(now), 0)
	if len(w.calls) < slots {
		return wait
	}
	for _, c := range w.calls {
		end := c.started.Add(cicadapitch.Millis(float64(c.ExpectedDuration) * w.slowdown))
		wait = max(wait, end.Sub(now))
	}
	return wait
}

// startBackoff pauses the endpoint after a failed call.
func (w *worker) startBackoff(now cicadapitch.Instant) {
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.backoffUntil = now.Add(w.backoff)
}
