package fleet

import (
	"cmp"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// serviceState holds the endpoints of one service.
type serviceState struct {
	// all is sorted by id.
	all []Endpoint
	// listed is what the last view has of the service, or nil if that has changed. It is immutable.
	listed *serviceList
}

// serviceList is what a view has of a service.
type serviceList struct {
	// endpoints are those that may get work, leaving the others, both sorted by id.
	endpoints, leaving []Endpoint
	counts             map[cicadapitch.ZoneID]int
	versions           []cicadapitch.SoftwareVersion
}

// set adds an endpoint or replaces its record.
func (s *serviceState) set(e Endpoint) {
	s.listed = nil
	i, ok := findEndpoint(s.all, e.ID)
	if ok {
		s.all[i] = e
		return
	}
	s.all = slices.Insert(s.all, i, e)
}

// remove removes an endpoint.
func (s *serviceState) remove(id cicadapitch.EndpointID) {
	if i, ok := findEndpoint(s.all, id); ok {
		s.all, s.listed = slices.Delete(s.all, i, i+1), nil
	}
}

// list returns what a view has of the service while the given zones are out of service.
func (s *serviceState) list(evacuated map[cicadapitch.ZoneID]bool) *serviceList {
	if s.listed != nil {
		return s.listed
	}
	l := &serviceList{counts: map[cicadapitch.ZoneID]int{}, endpoints: make([]Endpoint, 0, len(s.all))}
	for _, e := range s.all {
		l.counts[e.Zone]++
		if !slices.Contains(l.versions, e.Version) {
			l.versions = append(l.versions, e.Version)
		}
		if !e.Leaving && !evacuated[e.Zone] {
			l.endpoints = append(l.endpoints, e)
		} else {
			l.leaving = append(l.leaving, e)
		}
	}
	// Views share the lists, so that an append has to copy them.
	l.endpoints, l.leaving, l.versions = slices.Clip(l.endpoints), slices.Clip(l.leaving), slices.Clip(l.versions)
	s.listed = l
	return l
}

// findEndpoint returns the index of an endpoint in a list that is sorted by id, or where it would be.
func findEndpoint(list []Endpoint, id cicadapitch.EndpointID) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(e Endpoint, id cicadapitch.EndpointID) int { return cmp.Compare(e.ID, id) })
}
