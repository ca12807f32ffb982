package standin

import (
	"context"
	"slices"
)

// waiter is a request that waits for a slot.
type waiter struct {
	priority int
	ready    chan struct{}
}

// acquire takes a slot, or waits for one behind higher priorities. It returns
// false where the engine is cold and bears no more.
func (e *Engine) acquire(ctx context.Context, priority int) (cold, ok bool) {
	e.mu.Lock()
	if e.coldLeft > 0 {
		defer e.mu.Unlock()
		return true, e.acquireCold()
	}
	if e.running < e.slots {
		defer e.mu.Unlock()
		e.running++
		e.report()
		return false, true
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	e.enqueue(w)
	e.mu.Unlock()
	select {
	case <-w.ready:
		return false, true
	case <-ctx.Done():
		return false, e.abandon(w)
	}
}

func (e *Engine) acquireCold() bool {
	if e.running >= e.coldSlots {
		e.overload++
		return false
	}
	e.running++
	e.report()
	return true
}

func (e *Engine) enqueue(w *waiter) {
	i := len(e.waiting)
	for i > 0 && e.waiting[i-1].priority < w.priority {
		i--
	}
	e.waiting = slices.Insert(e.waiting, i, w)
	e.report()
}

// abandon takes a waiter out of the queue. A slot that it was just given goes
// to the next one.
func (e *Engine) abandon(w *waiter) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.waiting, w); i >= 0 {
		e.waiting = slices.Delete(e.waiting, i, i+1)
	} else {
		e.pass()
	}
	e.report()
	return false
}

// release gives back a slot after a run.
func (e *Engine) release(completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if completed && e.coldLeft > 0 {
		e.coldLeft--
	}
	e.pass()
	e.report()
}

func (e *Engine) pass() {
	if len(e.waiting) == 0 || (e.coldLeft > 0 && e.running > e.coldSlots) {
		e.running--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next.ready)
}
