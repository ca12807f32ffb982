package configuration

import (
	"sync"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
)

// maxDeltas is the number of deltas that a host keeps for its peers.
const maxDeltas = 64

// Follower holds the configuration in force on this host, which follows the one in
// the store, and its latest deltas, which peers can fetch. The Syncer installs new
// configurations in it. It is safe for concurrent use.
type Follower struct {
	clock     cicadapitch.Clock
	current   atomic.Pointer[cicadapitch.Configuration]
	confirmed atomic.Bool

	mu sync.Mutex
	// encoded is the current configuration in CBOR.
	encoded     []byte
	deltas      []Delta
	subscribers []func(*cicadapitch.Configuration)
	installedAt cicadapitch.Instant
}

var _ cicadapitch.ConfigurationSource = (*Follower)(nil)

// NewFollower returns a Follower without a configuration.
func NewFollower(clock cicadapitch.Clock) *Follower { return &Follower{clock: clock} }

// Current implements cicadapitch.ConfigurationSource. It returns nil if there is no
// configuration yet.
func (f *Follower) Current() *cicadapitch.Configuration { return f.current.Load() }

// Revision returns the revision in force, or 0 if there is none.
func (f *Follower) Revision() cicadapitch.Revision {
	if cfg := f.current.Load(); cfg != nil {
		return cfg.Revision
	}
	return 0
}

// InForceSince returns when the current configuration came into force on this
// host, or 0 if there is none.
func (f *Follower) InForceSince() cicadapitch.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.installedAt
}

// Confirmed reports whether, at least once since this host started, the store or
// its peers confirmed that no higher revision than its own was in force.
func (f *Follower) Confirmed() bool { return f.confirmed.Load() && f.current.Load() != nil }

func (f *Follower) confirm() { f.confirmed.Store(true) }

// InstallIfNewer puts cfg in force if its revision is higher than the current one
// and returns whether it did. A configuration that cannot be encoded is not
// installed. The caller must not modify cfg afterwards.
func (f *Follower) InstallIfNewer(cfg *cicadapitch.Configuration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	if current != nil && cfg.Revision <= current.Revision {
		return false
	}
	encoded, err := Encode(cfg)
	if err != nil {
		return false
	}
	var deltas []Delta
	if current != nil {
		deltas = []Delta{newDelta(current, cfg, checksum(encoded))}
	}
	f.install(cfg, encoded, deltas)
	return true
}

// install puts cfg in force, keeps the deltas that lead to it and notifies the
// subscribers. The caller holds the lock and has checked that the revision is
// higher.
func (f *Follower) install(cfg *cicadapitch.Configuration, encoded []byte, deltas []Delta) {
	f.deltas = append(f.deltas, deltas...)
	f.deltas = f.deltas[max(0, len(f.deltas)-maxDeltas):]
	f.encoded = encoded
	f.installedAt = f.clock.Now()
	f.current.Store(cfg)
	for _, notify := range f.subscribers {
		notify(cfg)
	}
}

// Subscribe calls notify with the current configuration, if there is one, and with
// each later one in ascending order of revisions. notify runs under the lock of the
// Follower, so it must not block and must not call a method of the Follower other
// than Current, Revision and Confirmed.
func (f *Follower) Subscribe(notify func(*cicadapitch.Configuration)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, notify)
	if cfg := f.current.Load(); cfg != nil {
		notify(cfg)
	}
}
