package order_test

import (
	"context"
	"encoding/json"
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
)

// fakeApplier is an Applier that holds one configuration in memory and changes it by
// compare-and-swap. It also provides the configuration in force on the host.
type fakeApplier struct {
	mu  sync.Mutex
	cfg *cicadapitch.Configuration
	// applied holds the revision that each applied change produced.
	applied map[cicadapitch.ChangeID]cicadapitch.Revision
	// beforeSwap runs once, between the read and the swap.
	beforeSwap func()
	// err is returned by Apply. The change takes effect nevertheless if
	// answerLost is true.
	err        error
	answerLost bool
}

func (f *fakeApplier) Current() *cicadapitch.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg
}

func (f *fakeApplier) Apply(_ context.Context, c configuration.Change) (configuration.Outcome, error) {
	for {
		if r, ok := f.revisionOf(c.ID); ok {
			return configuration.Outcome{Result: configuration.Repeated, Revision: r}, nil
		}
		if f.err != nil && !f.answerLost {
			return configuration.Outcome{}, f.err
		}
		base := f.Current()
		next := clone(base)
		if err := c.Mutate(next); err != nil {
			return configuration.Outcome{}, err
		}
		if hook := f.takeHook(); hook != nil {
			hook()
		}
		if f.swap(base, next, c.ID) {
			return configuration.Outcome{Result: configuration.Applied, Revision: next.Revision}, f.err
		}
	}
}

func (f *fakeApplier) takeHook() func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	hook := f.beforeSwap
	f.beforeSwap = nil
	return hook
}

func (f *fakeApplier) revisionOf(id cicadapitch.ChangeID) (cicadapitch.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.applied[id]
	return r, ok
}

func (f *fakeApplier) swap(base, next *cicadapitch.Configuration, id cicadapitch.ChangeID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cfg != base {
		return false
	}
	next.Revision++
	f.cfg = next
	f.applied[id] = next.Revision
	return true
}

func clone(cfg *cicadapitch.Configuration) *cicadapitch.Configuration {
	next := new(cicadapitch.Configuration)
	if cfg == nil {
		return next
	}
	b, err := json.Marshal(cfg)
	if err != nil {
		panic(err)
	}
	if err := json.Unmarshal(b, next); err != nil {
		panic(err)
	}
	return next
}

// fakePropagation reports each revision as in force on inForce of total hosts.
type fakePropagation struct{ inForce, total int }

func (p fakePropagation) InForce(context.Context, cicadapitch.Revision) (inForce, total int) {
	return p.inForce, p.total
}

// HostsUp returns the first total of the six hosts in the example configuration.
func (p fakePropagation) HostsUp() map[cicadapitch.HostID]bool {
	names := []cicadapitch.HostID{"entry-a1", "entry-a2", "entry-b1", "entry-b2", "entry-c1", "entry-c2"}
	up := make(map[cicadapitch.HostID]bool)
	for _, n := range names[:p.total] {
		up[n] = true
	}
	return up
}

// steppingClock is a manual clock that Sleep advances, so that waits return at once.
type steppingClock struct{ *cicadapitch.ManualClock }

func (c steppingClock) Sleep(ctx context.Context, m cicadapitch.Millis) error {
	c.Advance(m)
	return ctx.Err()
}
