package origin

import (
	"slices"
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

// retireDelay is how long a version has had no endpoints before the store lists it as gone, so that
// endpoints that restart need not wait until it is listed again.
const retireDelay = 5 * cicadapitch.Second

// retention is how long a version is remembered that has gone out of use.
const retention = MaxLifetime + ListDelay

// History knows the software versions at which streams of each service may have begun: those that
// the store lists and those of the endpoints that this host has seen. A host begins streams only at
// versions that the store lists as in use. So what the store lists once a caller takes a stream up
// includes the version that began it, however late this host has learned of that version, as long as
// the store has not come back from an older copy since (see CompleteIn). A History is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	services map[catalog.ServiceID]map[cicadapitch.SoftwareVersion]*versionUse
}

// versionUse is the use of a version of a service.
type versionUse struct {
	// present is true while there are endpoints of the version, listed while the store lists it
	// as in use.
	present, listed bool
	// absentSince is when there were no endpoints any more. It is not used while present is true.
	absentSince cicadapitch.Instant
	// goneAt is when this host learned that it has gone out of use, or 0. storedGoneAt is when
	// that was by the store, which may have been written by a host whose clock is behind.
	goneAt, storedGoneAt cicadapitch.Instant
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{services: map[catalog.ServiceID]map[cicadapitch.SoftwareVersion]*versionUse{}}
}

// use returns the use of a version. A new one has no endpoints and is not listed. The caller holds
// mu.
func (h *History) use(now cicadapitch.Instant, s catalog.ServiceID, v cicadapitch.SoftwareVersion) *versionUse {
	if h.services[s] == nil {
		h.services[s] = map[cicadapitch.SoftwareVersion]*versionUse{}
	}
	if h.services[s][v] == nil {
		h.services[s][v] = &versionUse{absentSince: now}
	}
	return h.services[s][v]
}

// Observe records the versions of the endpoints that are there from now on, by service.
func (h *History) Observe(now cicadapitch.Instant, present map[catalog.ServiceID][]cicadapitch.SoftwareVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for s, versions := range h.services {
		for v, u := range versions {
			if u.present && !slices.Contains(present[s], v) {
				u.present, u.absentSince, u.goneAt = false, now, now
			}
		}
	}
	for s, versions := range present {
		for _, v := range versions {
			h.use(now, s, v).present = true
		}
	}
	h.removeExpired(now)
}

// removeExpired removes the versions of which no stream can be taken up any more. The caller holds
// mu.
func (h *History) removeExpired(now cicadapitch.Instant) {
	for s, versions := range h.services {
		for v, u := range versions {
			if !u.possible(now, retention) {
				delete(versions, v)
			}
		}
		if len(versions) == 0 {
			delete(h.services, s)
		}
	}
}

// possible reports whether streams may have begun at the version within window.
func (u *versionUse) possible(now cicadapitch.Instant, window cicadapitch.Millis) bool {
	return u.present || u.listed || u.goneAt > 0 && now.Sub(u.goneAt) <= window
}

// Seen returns the versions of a service at which streams may have begun within window, as far as
// this host knows.
func (h *History) Seen(now cicadapitch.Instant, s catalog.ServiceID, window cicadapitch.Millis) []cicadapitch.SoftwareVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	var seen []cicadapitch.SoftwareVersion
	for v, u := range h.services[s] {
		if u.possible(now, window) {
			seen = append(seen, v)
		}
	}
	return seen
}

// Listed returns the versions of a service that the store lists as in use, at which streams may
// begin.
func (h *History) Listed(s catalog.ServiceID) []cicadapitch.SoftwareVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	var listed []cicadapitch.SoftwareVersion
	for v, u := range h.services[s] {
		if u.listed {
			listed = append(listed, v)
		}
	}
	return listed
}
