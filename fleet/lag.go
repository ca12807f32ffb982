package fleet

import (
	"slices"
	"sync"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
)

// maxHolders bounds the hosts that a Lag remembers as holders of the latest version.
const maxHolders = 8

// CatalogLag says how far a host's configuration is behind.
type CatalogLag struct {
	// Version is in force, Latest the latest version that the host has heard of. Latest is
	// 0 if that is the version in force.
	Version, Latest int64
	// Age is how long ago the first version that this host lacks was first known to a host.
	Age cicadapitch.Millis
	// Stale is true once the host has been behind for so long that it must not route
	// requests.
	Stale bool
}

// knownVersion is a version of the configuration and when a host of the deployment first
// knew it, by this host's clock.
type knownVersion struct {
	version int64
	knownAt cicadapitch.Instant
}

// Lag tracks which version of the configuration this host has in force and which later ones
// it has heard of. It is safe for concurrent use.
type Lag struct {
	// behind mirrors whether latest is set, for readers without the lock.
	behind atomic.Bool

	mu      sync.Mutex
	current knownVersion
	// missing is the first later version that was heard of, latest the last one. Both are
	// zero if there is none.
	missing, latest knownVersion
	// holders are the addresses of hosts that have the latest version.
	holders []string
}

// Learn records that a host has a version in force that was first known age ago. It reports
// whether this host is behind it.
func (l *Lag) Learn(now cicadapitch.Instant, version int64, age cicadapitch.Millis, holder string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := knownVersion{version, now.Add(-max(age, 0))}
	if version == l.current.version {
		l.current.knownAt = min(l.current.knownAt, known.knownAt)
	}
	if version <= l.current.version {
		return false
	}
	if l.latest.version == 0 || version < l.missing.version {
		l.missing = known
	}
	if version == l.missing.version {
		l.missing.knownAt = min(l.missing.knownAt, known.knownAt)
	}
	switch {
	case version > l.latest.version:
		l.latest, l.holders = known, []string{holder}
	case version == l.latest.version:
		l.latest.knownAt = min(l.latest.knownAt, known.knownAt)
		if !slices.Contains(l.holders, holder) && len(l.holders) < maxHolders {
			l.holders = append(l.holders, holder)
		}
	}
	l.behind.Store(true)
	return true
}

// Adopt records that this host has put a version in force that was first known age ago.
func (l *Lag) Adopt(now cicadapitch.Instant, version int64, age cicadapitch.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	knownAt := now.Add(-max(age, 0))
	for _, known := range []knownVersion{l.missing, l.latest} {
		if known.version == version {
			knownAt = min(knownAt, known.knownAt)
		}
	}
	l.current = knownVersion{version, knownAt}
	switch {
	case version >= l.latest.version:
		l.missing, l.latest, l.holders = knownVersion{}, knownVersion{}, nil
		l.behind.Store(false)
	case version >= l.missing.version:
		l.missing = l.latest
	}
}

// Drop removes a host from the holders of the latest version until it is heard of again.
func (l *Lag) Drop(holder string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders = slices.DeleteFunc(l.holders, func(h string) bool { return h == holder })
}

// Age returns how long ago the version in force was first known to a host.
func (l *Lag) Age(now cicadapitch.Instant) cicadapitch.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.current.knownAt)
}

// Behind returns the latest version that was heard of and how long ago the first version
// that this host lacks was first known to a host. It returns zeros if this host is not
// behind.
func (l *Lag) Behind(now cicadapitch.Instant) (latest int64, age cicadapitch.Millis) {
	if !l.behind.Load() {
		return 0, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latest.version == 0 {
		return 0, 0
	}
	return l.latest.version, now.Sub(l.missing.knownAt)
}

// Holders returns the addresses of hosts that have the latest version.
func (l *Lag) Holders() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.holders)
}
