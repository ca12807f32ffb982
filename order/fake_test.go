package order_test

import (
	"context"
	"encoding/json"
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
)

// fakeApplier keeps one configuration by compare-and-swap. It is also the
// host's view of it.
type fakeApplier struct {
	mu   sync.Mutex
	cfg  *cicadapitch.Configuration
	seen map[cicadapitch.ChangeID]cicadapitch.Revision
	// between runs once, between the reading and the swap.
	between func()
	// fail is returned instead of an answer; the change takes effect anyway
	// where lost is true.
	fail error
	lost bool
}

func (f *fakeApplier) Current() *cicadapitch.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg
}

func (f *fakeApplier) Apply(_ context.Context, c configuration.Change) (configuration.Outcome, error) {
	for {
		if r, ok := f.accepted(c.ID); ok {
			return configuration.Outcome{Result: configuration.Repeated, Revision: r}, nil
		}
		if f.fail != nil && !f.lost {
			return configuration.Outcome{}, f.fail
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
			return configuration.Outcome{Result: configuration.Applied, Revision: next.Revision}, f.fail
		}
	}
}

func (f *fakeApplier) takeHook() func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	hook := f.between
	f.between = nil
	return hook
}

func (f *fakeApplier) accepted(id cicadapitch.ChangeID) (cicadapitch.Revision, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.seen[id]
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
	f.seen[id] = next.Revision
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

// fakeSpread reports n of m hosts.
type fakeSpread struct{ n, m int }

func (s fakeSpread) InForce(context.Context, cicadapitch.Revision) (n, m int) { return s.n, s.m }

// HostsUp returns m hosts of the shipped answers, which have six.
func (s fakeSpread) HostsUp() map[cicadapitch.HostID]bool {
	names := []cicadapitch.HostID{"entry-a1", "entry-a2", "entry-b1", "entry-b2", "entry-c1", "entry-c2"}
	up := make(map[cicadapitch.HostID]bool)
	for _, n := range names[:s.m] {
		up[n] = true
	}
	return up
}

// steppingClock moves on whenever someone sleeps.
type steppingClock struct{ *cicadapitch.ManualClock }

func (c steppingClock) Sleep(ctx context.Context, m cicadapitch.Millis) error {
	c.Advance(m)
	return ctx.Err()
}
