package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/platform"
)

// maxListBytes limits the body of a new list; it is enough for thousands of
// hosts.
const maxListBytes = 4 << 20

// HostList is a fake of the platform's host list. A change becomes visible
// after a lag.
type HostList struct {
	clock    cicadapitch.Clock
	lag      cicadapitch.Millis
	mu       sync.Mutex
	versions []listVersion
}

// listVersion is a version of the list and the instant from which it is
// visible.
type listVersion struct {
	visibleFrom cicadapitch.Instant
	hosts       []cicadapitch.ListedHost
}

// NewHostList returns an empty list that makes a change visible after lag,
// measured with the system clock.
func NewHostList(lag cicadapitch.Millis) *HostList {
	return &HostList{clock: cicadapitch.NewSystemClock(), lag: lag}
}

// Set replaces the list. The new list becomes visible after the lag.
func (l *HostList) Set(hosts ...cicadapitch.ListedHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, listVersion{visibleFrom: l.clock.Now().Add(l.lag), hosts: slices.Clone(hosts)})
}

// Hosts returns the list that is visible now.
func (l *HostList) Hosts() []cicadapitch.ListedHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	hosts := []cicadapitch.ListedHost{}
	for i, v := range l.versions {
		if v.visibleFrom > now {
			l.versions = l.versions[max(0, i-1):]
			return hosts
		}
		hosts = v.hosts
	}
	return hosts
}

// ServeHTTP serves GET and POST /v1/hosts.
func (l *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/hosts" {
		http.NotFound(w, r)
		return
	}
	if r.Method == http.MethodPost {
		var b platform.HostsBody
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxListBytes)).Decode(&b); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		l.Set(b.Hosts...)
	}
	writeJSON(w, platform.HostsBody{Hosts: l.Hosts()})
}
