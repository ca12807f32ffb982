package standin

import (
	"context"
	"slices"
)

// waiter is a request that waits for a slot. Its channel is closed when it gets
// one.
type waiter struct {
	priority int
	ready    chan struct{}
}

// acquire takes a slot, or waits for one; waiting requests are ordered by
// descending priority. cold is true if the engine is in a cold start. ok is
// false if all slots of a cold engine are taken or ctx ends first.
func (e *Engine) acquire(ctx context.Context, priority int) (cold, ok bool) {
	e.mu.Lock()
	if e.completionsToWarm > 0 {
		defer e.mu.Unlock()
		return true, e.acquireCold()
	}
	if e.running < e.slots {
		defer e.mu.Unlock()
		e.running++
		e.recordLoad()
		return false, true
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	e.enqueue(w)
	e.mu.Unlock()
	select {
	case <-w.ready:
		return false, true
	case <-ctx.Done():
		return false, e.cancelWait(w)
	}
}

// acquireCold takes a slot of a cold engine, or counts an overload and returns
// false. The caller must hold e.mu.
func (e *Engine) acquireCold() bool {
	if e.running >= e.coldSlots {
		e.overloads++
		return false
	}
	e.running++
	e.recordLoad()
	return true
}

// enqueue inserts a waiter after those of the same or a higher priority. The
// caller must hold e.mu.
func (e *Engine) enqueue(w *waiter) {
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].priority < w.priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, w)
	e.recordLoad()
}

// cancelWait removes a waiter from the queue, or releases the slot that the
// waiter has just been given. It returns false, the result ok of acquire.
func (e *Engine) cancelWait(w *waiter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.waiting, w); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	} else {
		e.releaseSlot()
	}
	e.recordLoad()
	return false
}

// release returns a slot after a run and counts the run if it completed during
// a cold start.
func (e *Engine) release(completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if completed && e.completionsToWarm > 0 {
		e.completionsToWarm--
	}
	e.releaseSlot()
	e.recordLoad()
}

// releaseSlot gives a slot to the first waiter, or frees it if there is none or
// if a cold engine runs more requests than it has cold slots. The caller must
// hold e.mu.
func (e *Engine) releaseSlot() {
	if len(e.waiting) == 0 || (e.completionsToWarm > 0 && e.running > e.coldSlots) {
		e.running--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next.ready)
}
