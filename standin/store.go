package standin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cicadapitch.example/cicadapitch"
)

const (
	// defaultHistoryLimit is the number of events that a store keeps for
	// watches.
	defaultHistoryLimit = 10_000
	// retryAfterRefusal is the RetryAfter of calls refused by the rate limit.
	retryAfterRefusal = 200 * cicadapitch.Millis(1)
)

// MemoryStore is an in-memory cicadapitch.Store with fault injection.
type MemoryStore struct {
	clock         cicadapitch.Clock
	reads, writes *rate.Limiter
	historyLimit  int

	mu   sync.Mutex
	down bool
	// watchEventsSuppressed is true while watches get no events.
	watchEventsSuppressed bool
	// refusedWatch is the prefix of which waiting watches are refused, or empty.
	refusedWatch string
	delay        cicadapitch.Millis
	// responsesToLose is the number of next writes that take effect but return
	// OutcomeUnknown.
	responsesToLose int
	revision        cicadapitch.StoreRevision
	pairs           map[string]cicadapitch.KeyValue
	leases          map[cicadapitch.LeaseID]*lease
	nextLease       cicadapitch.LeaseID
	history         []cicadapitch.WatchEvent
	// compactedRevision is the highest revision that history no longer covers.
	compactedRevision cicadapitch.StoreRevision
	// era counts the times that the store came back from a copy, from 1.
	era int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	calls   Calls
}

// lease is a granted lease and when it expires.
type lease struct {
	ttl     cicadapitch.Millis
	expires cicadapitch.Instant
}

var _ cicadapitch.Store = (*MemoryStore)(nil)

// NewMemoryStore returns an empty store.
func NewMemoryStore(clock cicadapitch.Clock, opts ...StoreOption) *MemoryStore {
	s := &MemoryStore{
		clock:        clock,
		reads:        newLimiter(0),
		writes:       newLimiter(0),
		historyLimit: defaultHistoryLimit,
		pairs:        make(map[string]cicadapitch.KeyValue),
		leases:       make(map[cicadapitch.LeaseID]*lease),
		nextLease:    1,
		era:          1,
		changed:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Get implements cicadapitch.Store.
func (s *MemoryStore) Get(ctx context.Context, key string) (cicadapitch.KeyValue, error) {
	unlock, err := s.beginCall(ctx, func(c *Calls) { c.Get++ }, s.reads)
	if err != nil {
		return cicadapitch.KeyValue{}, err
	}
	defer unlock()
	p, ok := s.pairs[key]
	if !ok {
		return cicadapitch.KeyValue{}, cicadapitch.NewError(cicadapitch.NotFound, "no key "+key, "write it first")
	}
	p.Value = slices.Clone(p.Value)
	return p, nil
}

// List implements cicadapitch.Store.
func (s *MemoryStore) List(ctx context.Context, prefix string) ([]cicadapitch.KeyValue, cicadapitch.StoreRevision, error) {
	unlock, err := s.beginCall(ctx, func(c *Calls) { c.List++ }, s.reads)
	if err != nil {
		return nil, 0, err
	}
	defer unlock()
	var list []cicadapitch.KeyValue
	for _, key := range slices.Sorted(maps.Keys(s.pairs)) {
		if strings.HasPrefix(key, prefix) {
			p := s.pairs[key]
			p.Value = slices.Clone(p.Value)
			list = append(list, p)
		}
	}
	return list, s.revision, nil
}

// Commit implements cicadapitch.Store.
func (s *MemoryStore) Commit(ctx context.Context, conditions []cicadapitch.Condition, writes []cicadapitch.Write) (cicadapitch.StoreRevision, error) {
	unlock, err := s.beginCall(ctx, func(c *Calls) { c.Commit++ }, s.writes)
	if err != nil {
		return 0, err
	}
	defer unlock()
	for _, c := range conditions {
		if s.pairs[c.Key].Revision != c.Revision {
			return 0, cicadapitch.NewError(cicadapitch.Conflict, "key "+c.Key+" has changed", "read it again and decide anew")
		}
	}
	if err := s.checkWrites(writes); err != nil {
		return 0, err
	}
	s.revision++
	for _, w := range writes {
		s.apply(w)
	}
	s.notifyWatches()
	return s.revision, s.loseResponse()
}

// checkWrites returns an error if a value is too large or a lease does not
// exist.
func (s *MemoryStore) checkWrites(writes []cicadapitch.Write) error {
	for _, w := range writes {
		if cicadapitch.Bytes(len(w.Value)) > cicadapitch.MaxValueBytes {
			return cicadapitch.NewError(cicadapitch.Invalid, "value of "+w.Key+" is too large", "write less than a megabyte")
		}
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return newNoLeaseError()
		}
	}
	return nil
}

// apply performs a write at the current revision.
func (s *MemoryStore) apply(w cicadapitch.Write) {
	if w.Delete {
		s.remove(w.Key)
		return
	}
	p := cicadapitch.KeyValue{Key: w.Key, Value: slices.Clone(w.Value), Revision: s.revision, Lease: w.Lease}
	s.pairs[w.Key] = p
	s.appendHistory(cicadapitch.WatchEvent{Pair: p})
}

// remove deletes a key, if it exists, at the current revision.
func (s *MemoryStore) remove(key string) {
	if _, ok := s.pairs[key]; !ok {
		return
	}
	delete(s.pairs, key)
	deleted := cicadapitch.KeyValue{Key: key, Revision: s.revision}
	s.appendHistory(cicadapitch.WatchEvent{Pair: deleted, Deleted: true})
}

// beginCall counts a call, applies the injected delay and faults, and locks the
// store. It returns the function that unlocks the store.
func (s *MemoryStore) beginCall(ctx context.Context, count func(*Calls), limit *rate.Limiter) (func(), error) {
	s.mu.Lock()
	count(&s.calls)
	delay := s.delay
	s.mu.Unlock()
	if delay > 0 {
		if err := s.clock.Sleep(ctx, delay); err != nil {
			return nil, cicadapitch.NewError(cicadapitch.Unavailable, "the store was too slow", "try again later")
		}
	}
	s.mu.Lock()
	if err := s.checkAvailable(limit); err != nil {
		s.calls.Refused++
		s.mu.Unlock()
		return nil, err
	}
	s.expireLeases()
	return s.mu.Unlock, nil
}

// checkAvailable returns an error if the store is down or the rate limit is
// exceeded.
func (s *MemoryStore) checkAvailable(limit *rate.Limiter) error {
	if s.down {
		return cicadapitch.NewError(cicadapitch.Unavailable, "the store is down", "try again once it is back")
	}
	if !limit.AllowN(time.UnixMilli(int64(s.clock.Now())), 1) {
		e := cicadapitch.NewError(cicadapitch.Unavailable, "the store refused the call by its rate limit", "call less often")
		e.RetryAfter = retryAfterRefusal
		return e
	}
	return nil
}

// loseResponse returns an OutcomeUnknown error if the response of this write is
// to be lost, and counts down responsesToLose. Otherwise it returns nil.
func (s *MemoryStore) loseResponse() error {
	if s.responsesToLose == 0 {
		return nil
	}
	s.responsesToLose--
	return cicadapitch.NewOutcomeUnknown("the store's answer was lost")
}
