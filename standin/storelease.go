package standin

import (
	"context"
	"maps"
	"slices"

	"cicadapitch.example/cicadapitch"
)

func newNoLeaseError() error {
	return cicadapitch.NewError(cicadapitch.NotFound, "no such lease", "grant a new one")
}

// Grant implements cicadapitch.Store.
func (s *MemoryStore) Grant(ctx context.Context, ttl cicadapitch.Millis) (cicadapitch.LeaseID, error) {
	unlock, err := s.beginCall(ctx, func(c *Calls) { c.Grant++ }, s.writes)
	if err != nil {
		return 0, err
	}
	defer unlock()
	id := s.nextLease
	s.nextLease++
	s.leases[id] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	if err := s.loseResponse(); err != nil {
		return 0, err
	}
	return id, nil
}

// Renew implements cicadapitch.Store.
func (s *MemoryStore) Renew(ctx context.Context, id cicadapitch.LeaseID) (cicadapitch.Millis, error) {
	unlock, err := s.beginCall(ctx, func(c *Calls) { c.Renew++ }, s.writes)
	if err != nil {
		return 0, err
	}
	defer unlock()
	l, ok := s.leases[id]
	if !ok {
		return 0, newNoLeaseError()
	}
	l.expires = s.clock.Now().Add(l.ttl)
	if err := s.loseResponse(); err != nil {
		return 0, err
	}
	return l.ttl, nil
}

// Revoke implements cicadapitch.Store.
func (s *MemoryStore) Revoke(ctx context.Context, id cicadapitch.LeaseID) error {
	unlock, err := s.beginCall(ctx, func(c *Calls) { c.Revoke++ }, s.writes)
	if err != nil {
		return err
	}
	defer unlock()
	if _, ok := s.leases[id]; !ok {
		return newNoLeaseError()
	}
	s.endLease(id)
	return s.loseResponse()
}

// ExpireLeases ends the leases whose TTL has passed. Every store call does the
// same.
func (s *MemoryStore) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
}

// expireLeases ends expired leases unless the store is down. The caller must
// hold s.mu.
func (s *MemoryStore) expireLeases() {
	if s.down {
		return
	}
	now := s.clock.Now()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.leases[id].expires <= now {
			s.endLease(id)
		}
	}
}

// endLease deletes a lease and its keys in a new revision. The caller must hold
// s.mu.
func (s *MemoryStore) endLease(id cicadapitch.LeaseID) {
	delete(s.leases, id)
	s.revision++
	for _, key := range slices.Sorted(maps.Keys(s.pairs)) {
		if s.pairs[key].Lease == id {
			s.remove(key)
		}
	}
	s.notifyWatches()
}
