package standin

import (
	"maps"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// StoreCopy is the content of a MemoryStore at some time.
type StoreCopy struct {
	revision, compactedRevision cicadapitch.StoreRevision
	pairs                       map[string]cicadapitch.KeyValue
	leases                      map[cicadapitch.LeaseID]lease
	nextLease                   cicadapitch.LeaseID
	history                     []cicadapitch.WatchEvent
}

// Copy returns a copy of the store's content.
func (s *MemoryStore) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := StoreCopy{
		s.revision, s.compactedRevision, maps.Clone(s.pairs), map[cicadapitch.LeaseID]lease{}, s.nextLease, slices.Clone(s.history),
	}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore replaces the content by that of a copy and begins a new era. The copy's leases run for their whole
// time once more; revisions and lease ids are given out again.
func (s *MemoryStore) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.compactedRevision, s.pairs, s.nextLease, s.history = c.revision, c.compactedRevision, maps.Clone(c.pairs), c.nextLease, slices.Clone(c.history)
	s.leases = map[cicadapitch.LeaseID]*lease{}
	for id, l := range c.leases {
		s.leases[id] = &lease{ttl: l.ttl, expires: s.clock.Now().Add(l.ttl)}
	}
	s.era++
	s.notifyWatches()
}

// Era returns the number of the store's era, from 1.
func (s *MemoryStore) Era() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
