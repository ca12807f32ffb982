package bench

import (
	"container/heap"

	"cicadapitch.example/cicadapitch"
)

// event is a function that is due at an instant. Events of one instant run in
// the order in which they were added.
type event struct {
	at    cicadapitch.Instant
	order uint64
	run   func()
}

// loop runs events in order on virtual time.
type loop struct {
	now    cicadapitch.Instant
	order  uint64
	events events
}

func (l *loop) after(m cicadapitch.Millis, run func()) {
	l.order++
	heap.Push(&l.events, event{at: l.now.Add(max(m, 0)), order: l.order, run: run})
}

// every runs a function at a fixed interval for as long as the loop runs.
func (l *loop) every(m cicadapitch.Millis, run func()) {
	l.after(m, func() {
		run()
		l.every(m, run)
	})
}

func (l *loop) runUntil(end cicadapitch.Instant) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.run()
	}
	l.now = end
}

// events implements heap.Interface.
type events []event

func (h events) Len() int { return len(h) }

func (h events) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
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
