package rig

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// pageItems is the number of items in a page of a listing.
	pageItems = 500
	// sweepInterval is the pause between two looks for ended leases.
	sweepInterval = 50 * time.Millisecond
)

// item is a key of the store as it is sent.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created_rev,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

// lease is a granted lease.
type lease struct {
	ttl time.Duration
	end time.Time
}

// Copy is the content of a store at an instant.
type Copy struct {
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
}

// Store simulates the platform's metadata store.
type Store struct {
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	down     bool
	era      int
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]lease
	// lastLease is never given out again, also after Restore.
	lastLease int64
	// changed is closed and replaced with each change.
	changed chan struct{}
	closed  chan struct{}
}

// NewStore starts an empty store on a loopback port.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		listener: l, era: 1, revision: 1, items: map[string]item{}, leases: map[int64]lease{},
		changed: make(chan struct{}), closed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	for pattern, f := range map[string]func(*http.Request) (int, any){
		"GET /-/kv-key": s.get, "GET /-/kv-range": s.list, "GET /-/kv-watch": s.watch, "POST /-/kv-txn": s.commit,
		"POST /-/kv-lease": s.grant, "POST /-/kv-keep/{id}": s.renew, "DELETE /-/kv-lease-end/{id}": s.end,
	} {
		mux.HandleFunc(pattern, s.handle(f))
	}
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	go s.sweep()
	return s, nil
}

// Address returns the ip:port of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	close(s.closed)
	_ = s.server.Close()
}

// handle returns the handler of a call. f returns the status and the body of the answer.
func (s *Store) handle(f func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(4 * time.Millisecond)
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		status, body := http.StatusServiceUnavailable, any(struct{}{})
		if !down {
			status, body = f(r)
		}
		s.mu.Lock()
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

// Put writes a key as the operator or an endpoint does, and returns its revision.
func (s *Store) Put(key string, value any) int64 {
	b, ok := value.([]byte)
	if !ok {
		b, _ = json.Marshal(value) // the values of the cases can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, b, 0)
	s.notify()
	return s.revision
}

// Remove removes a key and returns the revision of that.
func (s *Store) Remove(key string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
	return s.revision
}

// Revision returns the store's revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// SetDown makes the store refuse all calls, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, maps.Clone(s.items), slices.Clone(s.history), maps.Clone(s.leases)}
}

// Restore replaces the content by that of a copy and begins a new era. The copy's leases run
// for their whole time once more.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
	s.leases = map[int64]lease{}
	for id, l := range c.leases {
		s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	}
	s.era++
	s.notify()
}

// set stores a key at the current revision. The caller holds mu.
func (s *Store) set(key string, value []byte, leaseID int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = it
	s.history = append(s.history, it)
}

// remove removes a key at the current revision. The caller holds mu.
func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
}

// notify wakes the waiting watches. The caller holds mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// sweep ends leases until the store is closed. They pause while it is down.
func (s *Store) sweep() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		for id, l := range s.leases {
			switch {
			case s.down:
				l.end = l.end.Add(sweepInterval)
				s.leases[id] = l
			case time.Now().After(l.end):
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and removes its keys. The caller holds mu.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}
