package configuration

import (
	"sync"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
)

// Follower holds the configuration in force on this host.
type Follower struct {
	clock       cicadapitch.Clock
	current     atomic.Pointer[cicadapitch.Configuration]
	mu          sync.Mutex
	subscribers []func(*cicadapitch.Configuration)
}

var _ cicadapitch.Configurations = (*Follower)(nil)

// FollowerOption sets an option of a Follower.
type FollowerOption func(*Follower)

// NewFollower returns a follower without a configuration.
func NewFollower(clock cicadapitch.Clock, opts ...FollowerOption) *Follower {
	f := &Follower{clock: clock}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Current implements cicadapitch.Configurations.
func (f *Follower) Current() *cicadapitch.Configuration { return f.current.Load() }

// Offer puts cfg in force if its revision is higher than the present one, and
// returns whether it did. The caller must not change cfg afterwards.
func (f *Follower) Offer(cfg *cicadapitch.Configuration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if have := f.current.Load(); have != nil && cfg.Revision <= have.Revision {
		return false
	}
	f.current.Store(cfg)
	for _, notify := range f.subscribers {
		notify(cfg)
	}
	return true
}

// Subscribe calls notify with the present configuration, if there is one, and
// with each later one, in the order of their revisions. notify must not block
// and must not call the Follower's Offer or Subscribe.
func (f *Follower) Subscribe(notify func(*cicadapitch.Configuration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, notify)
	if cfg := f.current.Load(); cfg != nil {
		notify(cfg)
	}
}
