package configuration

import (
	"sync"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
)

// keptDeltas is how many deltas a host keeps for its peers.
const keptDeltas = 64

// Follower holds the configuration in force on this host, and the latest
// changes for peers that fetch them.
type Follower struct {
	clock     cicadapitch.Clock
	current   atomic.Pointer[cicadapitch.Configuration]
	confirmed atomic.Bool

	mu          sync.Mutex
	encoded     []byte
	deltas      []Delta
	subscribers []func(*cicadapitch.Configuration)
	since       cicadapitch.Instant
}

var _ cicadapitch.Configurations = (*Follower)(nil)

// NewFollower returns a follower without a configuration.
func NewFollower(clock cicadapitch.Clock) *Follower { return &Follower{clock: clock} }

// Current implements cicadapitch.Configurations.
func (f *Follower) Current() *cicadapitch.Configuration { return f.current.Load() }

// Revision returns the revision in force, 0 for none.
func (f *Follower) Revision() cicadapitch.Revision {
	if cfg := f.current.Load(); cfg != nil {
		return cfg.Revision
	}
	return 0
}

// InForceSince returns when the present configuration came into force here.
func (f *Follower) InForceSince() cicadapitch.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.since
}

// Confirmed tells whether the store or peers have said since the start that
// no higher revision was in force than the one that this host then had.
func (f *Follower) Confirmed() bool { return f.confirmed.Load() && f.current.Load() != nil }

func (f *Follower) confirm() { f.confirmed.Store(true) }

// InstallIfNewer puts cfg in force if its revision is higher than the present one, and
// returns whether it did. The caller must not change cfg afterwards.
func (f *Follower) InstallIfNewer(cfg *cicadapitch.Configuration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	have := f.current.Load()
	if have != nil && cfg.Revision <= have.Revision {
		return false
	}
	encoded, err := Encode(cfg)
	if err != nil {
		return false
	}
	var deltas []Delta
	if have != nil {
		deltas = []Delta{newDelta(have, cfg, checksum(encoded))}
	}
	f.put(cfg, encoded, deltas)
	return true
}

// put takes a higher revision and tells the subscribers. The caller holds the
// lock.
func (f *Follower) put(cfg *cicadapitch.Configuration, encoded []byte, deltas []Delta) {
	f.deltas = append(f.deltas, deltas...)
	f.deltas = f.deltas[max(0, len(f.deltas)-keptDeltas):]
	f.encoded = encoded
	f.since = f.clock.Now()
	f.current.Store(cfg)
	for _, notify := range f.subscribers {
		notify(cfg)
	}
}

// Subscribe calls notify with the present configuration, if there is one, and
// with each later one, in the order of their revisions. notify must not block
// and must not call the Follower's Offer, Take or Subscribe.
func (f *Follower) Subscribe(notify func(*cicadapitch.Configuration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, notify)
	if cfg := f.current.Load(); cfg != nil {
		notify(cfg)
	}
}
