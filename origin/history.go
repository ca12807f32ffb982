package origin

import (
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

// History knows the software versions that the endpoints of each service have had in the
// last MaxLifetime. It is safe for concurrent use.
type History struct {
	mu sync.Mutex
	// began is when the first versions were observed, or 0.
	began cicadapitch.Instant
	// versions holds when each version was last present.
	versions map[catalog.ServiceID]map[cicadapitch.SoftwareVersion]cicadapitch.Instant
	// restored holds the services whose versions from before this host started are known.
	restored map[catalog.ServiceID]bool
	// present is the last observation.
	present map[catalog.ServiceID][]cicadapitch.SoftwareVersion
}

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{
		versions: map[catalog.ServiceID]map[cicadapitch.SoftwareVersion]cicadapitch.Instant{},
		restored: map[catalog.ServiceID]bool{},
	}
}

// Observe records the versions that are present from now on, by service.
func (h *History) Observe(now cicadapitch.Instant, present map[catalog.ServiceID][]cicadapitch.SoftwareVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.began == 0 {
		h.began = now
	}
	h.touch(now)
	h.present = present
	h.touch(now)
	for s, versions := range h.versions {
		for v, at := range versions {
			if now.Sub(at) > MaxLifetime {
				delete(versions, v)
			}
		}
		if len(versions) == 0 {
			delete(h.versions, s)
		}
	}
}

// touch records that the versions of the last observation are present now. The caller
// holds mu.
func (h *History) touch(now cicadapitch.Instant) {
	for s, present := range h.present {
		if h.versions[s] == nil {
			h.versions[s] = map[cicadapitch.SoftwareVersion]cicadapitch.Instant{}
		}
		for _, v := range present {
			h.versions[s][v] = now
		}
	}
}

// Seen returns the versions of a service that were present at any time within window,
// and whether the history reaches back that far.
func (h *History) Seen(now cicadapitch.Instant, s catalog.ServiceID, window cicadapitch.Millis) ([]cicadapitch.SoftwareVersion, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.touch(now)
	var seen []cicadapitch.SoftwareVersion
	for v, at := range h.versions[s] {
		if now.Sub(at) <= window {
			seen = append(seen, v)
		}
	}
	return seen, h.restored[s] || h.began > 0 && now.Sub(h.began) >= min(window, MaxLifetime)
}
