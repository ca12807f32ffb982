package bench

import (
	"container/heap"

	"cicadapitch.example/cicadapitch"
)

// event is a function to run at an instant. Events of the same instant run in
// the order in which they were scheduled.
type event struct {
	at       cicadapitch.Instant
	sequence uint64
	run      func()
}

// loop runs events in time order on virtual time.
type loop struct {
	now      cicadapitch.Instant
	sequence uint64
	events   events
}

// after schedules run after m, or immediately if m is negative.
func (l *loop) after(m cicadapitch.Millis, run func()) {
	l.sequence++
	heap.Push(&l.events, event{at: l.now.Add(max(m, 0)), sequence: l.sequence, run: run})
}

// every runs a function at a fixed interval, first after m.
func (l *loop) every(m cicadapitch.Millis, run func()) {
	l.after(m, func() {
		run()
		l.every(m, run)
	})
}

// runUntil runs all events up to end and sets the time to end.
func (l *loop) runUntil(end cicadapitch.Instant) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

// events is a heap of events; it implements heap.Interface.
type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *events) Push(v any) { *h = append(*h, v.(event)) }

func (h *events) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*h = old[:last]
	return e
}
