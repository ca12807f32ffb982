package endpoint

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

const (
	// spareFactor is how much more the other endpoints must bear than the
	// shard's present work before one endpoint is taken away to load.
	spareFactor = 1.25
	// orderRetry is the pause after an order that failed.
	orderRetry = 10 * cicadapitch.Second
)

// differs is true if the endpoint says that it serves something else than its
// pool does.
func differs(r cicadapitch.LoadReport, p cicadapitch.Pool) bool {
	switch {
	case r.Model == "" && r.Version == "":
		return false
	case p.Model != "" && r.Model != p.Model, p.Version != "" && r.Version != p.Version:
		return true
	}
	return slices.ContainsFunc(p.Adapters, func(a cicadapitch.AdapterID) bool { return !slices.Contains(r.Adapters, a) })
}

// served is true if two settings of a pool load the same things.
func served(a, b cicadapitch.Pool) bool {
	return a.Model == b.Model && a.Version == b.Version && slices.Equal(a.Adapters, b.Adapters)
}

// Stale returns an endpoint that is to load what its pool serves now, if the
// shard can spare it: one at a time, with nothing queued, and with enough room
// at the others.
func (s *State) Stale(now cicadapitch.Instant) (cicadapitch.EndpointID, bool) {
	var stale *backend
	for _, b := range s.endpoints {
		if b.loading {
			return "", false
		}
		if stale == nil && b.stale && b.inService() && now >= b.orderAfter {
			stale = b
		}
	}
	if stale == nil || len(s.waiting) > 0 {
		return "", false
	}
	work, room := cicadapitch.Slots(0), cicadapitch.Slots(0)
	for _, b := range s.endpoints {
		work += b.busy()
		if b != stale {
			room += s.limit(now, b)
		}
	}
	if float64(room) < float64(work)*spareFactor {
		return "", false
	}
	return stale.ID, true
}

// Unload takes new work away from an endpoint so that it can load.
func (s *State) Unload(id cicadapitch.EndpointID) {
	if b := s.backend(id); b != nil {
		b.loading = true
		s.scatter(b)
	}
}

// Idle returns the endpoint that has been unloaded and has ended its work, once.
func (s *State) Idle() (cicadapitch.Endpoint, bool) {
	for _, b := range s.endpoints {
		if b.loading && !b.ordered && b.busy() == 0 {
			b.ordered = true
			b.stale = false
			return b.Endpoint, true
		}
	}
	return cicadapitch.Endpoint{}, false
}

// Loaded ends the loading of an endpoint, which starts cold. A failed order is
// given again later.
func (s *State) Loaded(now cicadapitch.Instant, id cicadapitch.EndpointID, ok bool) []Command {
	s.commands = s.commands[:0]
	b := s.backend(id)
	if b == nil {
		return nil
	}
	b.loading = false
	b.ordered = false
	b.stale = b.stale || !ok
	b.prefixes.clear()
	s.fall(now, b)
	if !ok {
		b.orderAfter = now.Add(orderRetry)
	}
	return s.dispatch(now)
}
