package fleet

import (
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

// Endpoint is an endpoint with what this host knows about it.
type Endpoint struct {
	catalog.Endpoint
	// WarmAt is when the endpoint stops being cold.
	WarmAt cicadapitch.Instant
}

// View is what decisions read. It is immutable.
type View struct {
	Catalog   *catalog.Catalog
	endpoints map[catalog.ServiceID][]Endpoint
	known     map[catalog.ServiceID]map[cicadapitch.ZoneID]int
	Evacuated map[cicadapitch.ZoneID]bool
	Hosts     []Host
}

// Host is another host, or this one.
type Host struct {
	ID          cicadapitch.HostID
	Incarnation string
	Zone        cicadapitch.ZoneID
	// Callers and Peers are the ip:port for callers and for other hosts.
	Callers, Peers string
}

// Endpoints returns the endpoints of a service that may get work: neither
// leaving nor in a zone that is out of service.
func (v *View) Endpoints(s catalog.ServiceID) []Endpoint { return v.endpoints[s] }

// Known returns the number of a service's endpoints by zone, with those that may
// not get work.
func (v *View) Known(s catalog.ServiceID) map[cicadapitch.ZoneID]int { return v.known[s] }

// Cold reports whether the endpoint is in a cold start.
func (e *Endpoint) Cold(now cicadapitch.Instant) bool { return now < e.WarmAt }

// State builds views. It is not safe for concurrent use.
type State struct {
	catalog   *catalog.Catalog
	endpoints map[cicadapitch.EndpointID]Endpoint
	evacuated map[cicadapitch.ZoneID]bool
	hosts     map[string]Host
}

// NewState returns a state without beliefs.
func NewState() *State {
	return &State{
		endpoints: map[cicadapitch.EndpointID]Endpoint{},
		evacuated: map[cicadapitch.ZoneID]bool{},
		hosts:     map[string]Host{},
	}
}

// SetCatalog puts a configuration in force unless a later one is. It reports
// whether it did.
func (s *State) SetCatalog(c *catalog.Catalog) bool {
	if s.catalog != nil && c.Version <= s.catalog.Version {
		return false
	}
	s.catalog = c
	return true
}

// SetEndpoint takes what an endpoint says about itself.
func (s *State) SetEndpoint(now cicadapitch.Instant, e catalog.Endpoint) {
	s.endpoints[e.ID] = Endpoint{Endpoint: e, WarmAt: now.Add(e.ColdFor)}
}

// RemoveEndpoint forgets an endpoint.
func (s *State) RemoveEndpoint(id cicadapitch.EndpointID) { delete(s.endpoints, id) }

// Evacuate takes a zone out of service or back.
func (s *State) Evacuate(z cicadapitch.ZoneID, out bool) {
	if out {
		s.evacuated[z] = true
	} else {
		delete(s.evacuated, z)
	}
}

// SetHost takes the record of a host.
func (s *State) SetHost(key string, h Host) { s.hosts[key] = h }

// RemoveHost forgets a host.
func (s *State) RemoveHost(key string) { delete(s.hosts, key) }

// View returns what is believed now.
func (s *State) View() *View {
	v := &View{
		Catalog:   s.catalog,
		endpoints: map[catalog.ServiceID][]Endpoint{},
		known:     map[catalog.ServiceID]map[cicadapitch.ZoneID]int{},
		Evacuated: map[cicadapitch.ZoneID]bool{},
	}
	for z := range s.evacuated {
		v.Evacuated[z] = true
	}
	for _, e := range s.endpoints {
		if v.known[e.Service] == nil {
			v.known[e.Service] = map[cicadapitch.ZoneID]int{}
		}
		v.known[e.Service][e.Zone]++
		if !e.Leaving && !s.evacuated[e.Zone] {
			v.endpoints[e.Service] = append(v.endpoints[e.Service], e)
		}
	}
	for _, list := range v.endpoints {
		slices.SortFunc(list, func(a, b Endpoint) int { return compare(a.ID, b.ID) })
	}
	for _, h := range s.hosts {
		v.Hosts = append(v.Hosts, h)
	}
	slices.SortFunc(v.Hosts, func(a, b Host) int { return compare(a.Incarnation, b.Incarnation) })
	return v
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
