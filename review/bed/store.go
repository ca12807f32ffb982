package bed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/platform/platformtest"
	"cicadapitch.example/cicadapitch/standin"
)

// Store is the platform's store: the project's stand-in behind a gate that can stop answering.
type Store struct {
	// Address is its ip:port.
	Address string

	bed    *Bed
	memory *standin.MemoryStore
	inner  http.Handler

	mu sync.Mutex
	// silent is open while the store answers nothing, or nil.
	silent chan struct{}
	// lost are the writes whose answers are lost.
	lost lostWrites
}

// lostWrites says which writes are done late and not answered: the next n whose body contains a text.
type lostWrites struct {
	n    int
	text string
	late time.Duration
}

// LoseAnswers makes the store answer the next n writes whose body contains a text not at all, and do them late.
func (s *Store) LoseAnswers(n int, text string, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = lostWrites{n, text, late}
}

// loses reports whether the answer to a write is lost, and after which time the write is done.
func (s *Store) loses(body []byte) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost.n == 0 || !bytes.Contains(body, []byte(s.lost.text)) {
		return 0, false
	}
	s.lost.n--
	return s.lost.late, true
}

// doLate does a write after a time.
func (s *Store) doLate(r *http.Request, body []byte, late time.Duration) {
	time.Sleep(late)
	again := r.Clone(context.Background())
	again.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	s.inner.ServeHTTP(answer, again)
	s.bed.Log("store: a write whose answer was lost is done %d ms late, status %d: %.120s", late.Milliseconds(), answer.Code, body)
}

// NewStore starts an empty store.
func (b *Bed) NewStore() (*Store, error) {
	l, err := net.Listen("tcp", b.network+".9.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), bed: b, memory: standin.NewMemoryStore(cicadapitch.NewSystemClock())}
	s.inner = platformtest.NewStoreHandler(s.memory)
	go func() { _ = http.Serve(l, s) }() // it serves until the process ends
	return s, nil
}

// gate returns the channel that is open while the store answers nothing, or nil.
func (s *Store) gate() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// ServeHTTP implements http.Handler. A channel on which an answer is due while the store is down returns nothing.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if late, ok := s.loses(body); ok {
		go s.doLate(r, body, late)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	answer := httptest.NewRecorder()
	if s.gate() == nil {
		s.inner.ServeHTTP(answer, r)
	}
	if s.gate() != nil || answer.Code == http.StatusServiceUnavailable {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for k, v := range answer.Header() {
		w.Header()[k] = v
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // the caller notices
}

// GoDown makes the store answer nothing. Leases run out meanwhile if lapse is true, and pause otherwise.
func (s *Store) GoDown(lapse bool) {
	s.mu.Lock()
	s.silent = make(chan struct{})
	s.mu.Unlock()
	if lapse {
		s.memory.SetDown(true)
	} else {
		go s.pauseLeases(s.gate())
	}
	s.bed.Log("store: down, silent; leases run out: %t", lapse)
}

// maxLease is above the number of leases that are granted in a case.
const maxLease = 200

// pauseLeases keeps all leases until the store is back.
func (s *Store) pauseLeases(back <-chan struct{}) {
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		for id := range cicadapitch.LeaseID(maxLease) {
			_, _ = s.memory.Renew(context.Background(), id) // fails if there is no such lease
		}
		select {
		case <-back:
			return
		case <-t.C:
		}
	}
}

// ComeBack ends an outage.
func (s *Store) ComeBack() {
	s.memory.SetDown(false)
	s.memory.ExpireLeases()
	s.mu.Lock()
	close(s.silent)
	s.silent = nil
	s.mu.Unlock()
	s.bed.Log("store: back; entries of hosts: %d", s.Hosts())
}

// Hosts returns how many hosts are registered.
func (s *Store) Hosts() int { return len(s.memory.Keys("hosts/")) }

// Set writes a key as the operator or a replica does.
func (s *Store) Set(key string, value any) {
	b, ok := value.([]byte)
	if !ok {
		b, _ = json.Marshal(value) // the values of cases can always be encoded
	}
	s.memory.Write(cicadapitch.Write{Key: key, Value: b})
	s.bed.Log("store: %s = %.300s", key, b)
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.memory.Write(cicadapitch.Write{Key: key, Delete: true})
	s.bed.Log("store: %s removed", key)
}

// Up reports whether the store answers.
func (s *Store) Up() bool { return s.gate() == nil }

// Copy returns the content of the store.
func (s *Store) Copy() standin.StoreCopy {
	s.bed.Log("store: copied")
	return s.memory.Copy()
}

// Restore makes the store come back with the content of an older copy, in a later era.
func (s *Store) Restore(c standin.StoreCopy) {
	s.memory.Restore(c)
	s.bed.Log("store: restored from the copy, era %d", s.memory.Era())
}
