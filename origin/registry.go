package origin

import (
	"sync"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

const (
	// registryStripes is the number of independently locked parts of a registry.
	registryStripes = 16
	// maxStripeRecords bounds the records of one stripe. The oldest are dropped first.
	maxStripeRecords = 4096
)

// Registry holds the records of streams. The first record of a request is kept until
// its lifetime is over. A Registry is safe for concurrent use.
type Registry struct {
	stripes [registryStripes]stripe
}

// stripe is one part of a registry, selected by the hash of the request id.
type stripe struct {
	mu      sync.Mutex
	records map[cicadapitch.RequestID]heldRecord
	// inserted lists the requests with a record in the order of insertion.
	inserted []cicadapitch.RequestID
}

type heldRecord struct {
	origin    Origin
	expiresAt cicadapitch.Instant
	// storedIn is the latest era of the store in which it is known to hold the record.
	storedIn cicadapitch.StoreEra
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	r := &Registry{}
	for i := range r.stripes {
		r.stripes[i].records = map[cicadapitch.RequestID]heldRecord{}
	}
	return r
}

func (r *Registry) stripe(id cicadapitch.RequestID) *stripe {
	return &r.stripes[xxh3.HashString(string(id))%registryStripes]
}

// Add adds a record unless there is one of the same request.
func (r *Registry) Add(now cicadapitch.Instant, rec Record) {
	s := r.stripe(rec.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict(now)
	if _, ok := s.records[rec.Request]; ok {
		return
	}
	s.records[rec.Request] = heldRecord{origin: rec.Origin, expiresAt: now.Add(min(max(rec.Lifetime, 0), MaxLifetime))}
	s.inserted = append(s.inserted, rec.Request)
}

// Find returns the origin of the stream whose first event the request brought, and
// whether it is known.
func (r *Registry) Find(now cicadapitch.Instant, id cicadapitch.RequestID) (Origin, bool) {
	s := r.stripe(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.records[id]
	return held.origin, ok && now < held.expiresAt
}

// AddStored adds a record that the store holds in an era, unless there is one of the same request.
func (r *Registry) AddStored(now cicadapitch.Instant, rec Record, e cicadapitch.StoreEra) {
	r.Add(now, rec)
	s := r.stripe(rec.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if held, ok := s.records[rec.Request]; ok {
		held.storedIn = max(held.storedIn, e)
		s.records[rec.Request] = held
	}
}

// TakeUnstored returns the records that are not known to be stored in an era, of the streams for which owned returns
// true, with the lifetimes that are left. It counts them as stored from then on.
func (r *Registry) TakeUnstored(now cicadapitch.Instant, e cicadapitch.StoreEra, owned func(cicadapitch.RequestID) bool) []Record {
	var out []Record
	for i := range r.stripes {
		s := &r.stripes[i]
		s.mu.Lock()
		for id, held := range s.records {
			if now < held.expiresAt && held.storedIn < e && owned(id) {
				out = append(out, Record{id, held.origin, held.expiresAt.Sub(now)})
				held.storedIn = e
				s.records[id] = held
			}
		}
		s.mu.Unlock()
	}
	return out
}

// evict removes the oldest records while they have expired or the stripe is full. The
// caller holds mu.
func (s *stripe) evict(now cicadapitch.Instant) {
	for len(s.inserted) > 0 {
		oldest := s.inserted[0]
		if now < s.records[oldest].expiresAt && len(s.inserted) < maxStripeRecords {
			return
		}
		delete(s.records, oldest)
		s.inserted = s.inserted[1:]
	}
}
