package batch

import (
	"math"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

const (
	// slowFrom is the ratio of actual to expected time from which an endpoint
	// counts as slow. Work differs by stage and stays well below.
	slowFrom = 1.5
	// overdueSlack is added to the expected time before a call is overdue, for
	// transit and the fetching of inputs.
	overdueSlack cicadapitch.Millis = 80
	// recovery is the time constant with which an idle endpoint's slowness is
	// forgotten, so that it is tried again.
	recovery cicadapitch.Millis = 2500
	// firstPause and maxPause bound the pause after a broken call. It doubles.
	firstPause cicadapitch.Millis = 200
	maxPause   cicadapitch.Millis = 2000
	// fullPause is the pause after a refusal: a call of others runs there.
	fullPause cicadapitch.Millis = 40
	// roomPause is the pause of an endpoint without room for results, about the
	// time that an engine takes to fetch them.
	roomPause cicadapitch.Millis = 100
)

type flight struct {
	Call
	started cicadapitch.Instant
	// overdue is true once its pieces were put back into the queue.
	overdue bool
}

// worker is an endpoint as the planner sees it.
type worker struct {
	catalog.Endpoint
	calls map[CallID]*flight
	// slow is the smoothed ratio of actual to expected time, as of seen.
	slow  float64
	seen  cicadapitch.Instant
	pause cicadapitch.Millis
	until cicadapitch.Instant
	used  cicadapitch.Bytes
	gone  bool
	// shortSince is when the endpoint began to wait for room, or 0.
	shortSince cicadapitch.Instant
}

func newWorker(e catalog.Endpoint) *worker {
	return &worker{Endpoint: e, calls: map[CallID]*flight{}, slow: 1}
}

// slowness decays while nothing is learned.
func (w *worker) slowness(now cicadapitch.Instant) float64 {
	idle := float64(now.Sub(w.seen)) / float64(recovery)
	return 1 + (w.slow-1)*math.Exp(-max(idle, 0))
}

func (w *worker) learn(now cicadapitch.Instant, ratio float64) {
	const weight = 0.5
	w.slow = (1-weight)*w.slowness(now) + weight*max(ratio, 1)
	w.seen = now
}

func (w *worker) free(now cicadapitch.Instant, slots int) bool {
	return !w.gone && len(w.calls) < slots && now >= w.until
}

// freeIn estimates when the endpoint can start another call.
func (w *worker) freeIn(now cicadapitch.Instant, slots int) cicadapitch.Millis {
	wait := max(w.until.Sub(now), 0)
	if len(w.calls) < slots {
		return wait
	}
	for _, c := range w.calls {
		end := c.started.Add(cicadapitch.Millis(float64(c.Expected) * w.slow))
		wait = max(wait, end.Sub(now))
	}
	return wait
}

func (w *worker) failed(now cicadapitch.Instant) {
	w.pause = min(max(2*w.pause, firstPause), maxPause)
	w.until = now.Add(w.pause)
}
