package fleet

import (
	"cmp"
	"maps"
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

// Endpoint is the entry that an endpoint publishes, with the end of its cold start.
type Endpoint struct {
	catalog.Endpoint
	// WarmAt is when the endpoint's cold start ends.
	WarmAt cicadapitch.Instant
}

// View is an immutable snapshot of the deployment state. Catalog is nil until the
// host has a configuration.
type View struct {
	Catalog        *catalog.Catalog
	endpoints      map[catalog.ServiceID][]Endpoint
	leaving        map[catalog.ServiceID][]Endpoint
	endpointCounts map[catalog.ServiceID]map[cicadapitch.ZoneID]int
	// Versions holds the software versions of all endpoints of each service, including
	// those that may get no work.
	Versions map[catalog.ServiceID][]cicadapitch.SoftwareVersion
	// Evacuated holds the zones that are out of service.
	Evacuated map[cicadapitch.ZoneID]bool
	// Rollouts holds what the store has of rollouts, or is nil if there are none.
	Rollouts map[catalog.ServiceID]Rollout
	// Hosts are sorted by incarnation and must not be modified. Of several processes at one
	// address only the latest is among them.
	Hosts []Host
}

// Host is a host of the deployment, this one included.
type Host struct {
	ID          cicadapitch.HostID
	Incarnation string
	Zone        cicadapitch.ZoneID
	// Callers is the ip:port that callers connect to, Peers the one for other
	// hosts.
	Callers, Peers string
	// Revision is the store's revision of the host's entry.
	Revision cicadapitch.StoreRevision
}

// HostIncarnation is the id by which hosts are ranked.
func HostIncarnation(h Host) string { return h.Incarnation }

// Endpoints returns the endpoints of a service that may get work, sorted by id.
// Endpoints that are leaving or in a zone out of service are not among them.
func (v *View) Endpoints(s catalog.ServiceID) []Endpoint { return v.endpoints[s] }

// EndpointCounts returns the number of endpoints of a service in each zone,
// including those that may not get work.
func (v *View) EndpointCounts(s catalog.ServiceID) map[cicadapitch.ZoneID]int {
	return v.endpointCounts[s]
}

// Cold reports whether the endpoint is still in its cold start.
func (e *Endpoint) Cold(now cicadapitch.Instant) bool { return now < e.WarmAt }

// State is the current state of the deployment. Its methods apply changes, and View
// returns a snapshot. It is not safe for concurrent use.
type State struct {
	catalog  *catalog.Catalog
	services map[catalog.ServiceID]*serviceState
	// serviceOf maps each endpoint to its service.
	serviceOf map[cicadapitch.EndpointID]catalog.ServiceID
	evacuated map[cicadapitch.ZoneID]bool
	rollouts  map[catalog.ServiceID]Rollout
	// hosts maps the key of a host in the store to its record.
	hosts map[string]Host
	// current holds the hosts as a view lists them, or is nil if they have changed.
	current []Host
}

// NewState returns an empty state.
func NewState() *State {
	return &State{
		services:  map[catalog.ServiceID]*serviceState{},
		serviceOf: map[cicadapitch.EndpointID]catalog.ServiceID{},
		evacuated: map[cicadapitch.ZoneID]bool{},
		rollouts:  map[catalog.ServiceID]Rollout{},
		hosts:     map[string]Host{},
	}
}

// SetCatalog sets the configuration if its version is higher than that of the
// current one, and reports whether it did so.
func (s *State) SetCatalog(c *catalog.Catalog) bool {
	if s.catalog != nil && c.Version <= s.catalog.Version {
		return false
	}
	s.catalog = c
	return true
}

// SetEndpoint adds an endpoint or replaces its record. The endpoint is cold for
// e.ColdFor from now.
func (s *State) SetEndpoint(now cicadapitch.Instant, e catalog.Endpoint) {
	if before, ok := s.serviceOf[e.ID]; ok && before != e.Service {
		s.RemoveEndpoint(e.ID)
	}
	if s.services[e.Service] == nil {
		s.services[e.Service] = &serviceState{}
	}
	s.serviceOf[e.ID] = e.Service
	s.services[e.Service].set(Endpoint{Endpoint: e, WarmAt: now.Add(e.ColdFor)})
}

// RemoveEndpoint removes an endpoint.
func (s *State) RemoveEndpoint(id cicadapitch.EndpointID) {
	service, ok := s.serviceOf[id]
	if !ok {
		return
	}
	delete(s.serviceOf, id)
	s.services[service].remove(id)
	if len(s.services[service].all) == 0 {
		delete(s.services, service)
	}
}

// Leaving reports whether an endpoint has said that it leaves.
func (s *State) Leaving(id cicadapitch.EndpointID) bool {
	service := s.services[s.serviceOf[id]]
	if service == nil {
		return false
	}
	i, ok := findEndpoint(service.all, id)
	return ok && service.all[i].Leaving
}

// SetEvacuated takes a zone out of service if out is true, or puts it back into
// service.
func (s *State) SetEvacuated(z cicadapitch.ZoneID, out bool) {
	if s.evacuated[z] == out {
		return
	}
	if out {
		s.evacuated[z] = true
	} else {
		delete(s.evacuated, z)
	}
	for _, service := range s.services {
		service.listed = nil
	}
}

// SetHost adds a host or replaces its record. key is the host's key in the store.
func (s *State) SetHost(key string, h Host) { s.hosts[key], s.current = h, nil }

// RemoveHost removes the host with the given store key.
func (s *State) RemoveHost(key string) {
	delete(s.hosts, key)
	s.current = nil
}

// View returns a snapshot of the current state. It shares with earlier ones what has not changed.
func (s *State) View() *View {
	v := &View{
		Catalog:        s.catalog,
		endpoints:      map[catalog.ServiceID][]Endpoint{},
		endpointCounts: map[catalog.ServiceID]map[cicadapitch.ZoneID]int{},
		Versions:       map[catalog.ServiceID][]cicadapitch.SoftwareVersion{},
		Evacuated:      maps.Clone(s.evacuated),
		Rollouts:       s.viewRollouts(),
	}
	for id, service := range s.services {
		l := service.list(s.evacuated)
		v.endpoints[id], v.endpointCounts[id], v.Versions[id] = l.endpoints, l.counts, l.versions
		if len(l.leaving) > 0 {
			if v.leaving == nil {
				v.leaving = map[catalog.ServiceID][]Endpoint{}
			}
			v.leaving[id] = l.leaving
		}
	}
	if s.current == nil {
		s.current = s.currentHosts()
	}
	v.Hosts = s.current
	return v
}

// currentHosts returns the hosts without those whose address a later process has taken, sorted.
func (s *State) currentHosts() []Host {
	latest := map[string]Host{}
	for _, h := range s.hosts {
		if other, ok := latest[h.Peers]; !ok || h.Revision > other.Revision {
			latest[h.Peers] = h
		}
	}
	return slices.Clip(slices.SortedFunc(maps.Values(latest), func(a, b Host) int { return cmp.Compare(a.Incarnation, b.Incarnation) }))
}

// EndpointAt returns the endpoint with an address that takes requests.
func (v *View) EndpointAt(address string) (Endpoint, bool) {
	for _, list := range v.endpoints {
		if i := slices.IndexFunc(list, func(e Endpoint) bool { return e.Address == address }); i >= 0 {
			return list[i], true
		}
	}
	return Endpoint{}, false
}

// Contains reports whether an endpoint takes requests.
func (v *View) Contains(id cicadapitch.EndpointID) bool {
	for _, list := range v.endpoints {
		if _, ok := findEndpoint(list, id); ok {
			return true
		}
	}
	return false
}

// Addresses returns the addresses of the endpoints that take requests.
func (v *View) Addresses() []string {
	var out []string
	for _, list := range v.endpoints {
		for _, e := range list {
			out = append(out, e.Address)
		}
	}
	return out
}

// Takes reports whether the endpoint's process still takes requests at the same address.
func (v *View) Takes(e catalog.Endpoint) bool {
	list := v.endpoints[e.Service]
	i, ok := findEndpoint(list, e.ID)
	return ok && list[i].Address == e.Address && list[i].Started == e.Started
}
