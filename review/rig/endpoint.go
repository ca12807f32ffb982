package rig

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is a request that reached an endpoint.
type Arrival struct {
	Request string
	Path    string
	At      time.Time
}

// Endpoint simulates a plain service's endpoint.
type Endpoint struct {
	ID, Service, Zone string
	// Work is how long a request takes.
	Work     time.Duration
	store    *Store
	server   *http.Server
	listener net.Listener
	born     int64

	mu       sync.Mutex
	down     bool
	closed   bool
	sequence int
	arrivals []Arrival
	answer   func(w http.ResponseWriter, r *http.Request) bool
}

// NewEndpoint starts an endpoint on a loopback port, without an entry in the store.
func NewEndpoint(store *Store, id, service, zone string) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{ID: id, Service: service, Zone: zone, Work: 20 * time.Millisecond, store: store, listener: l, born: time.Now().UnixMilli()}
	e.server = &http.Server{Handler: e}
	go func(s *http.Server) { _ = s.Serve(l) }(e.server)
	return e, nil
}

// Address returns the ip:port of the endpoint.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// Register writes the endpoint's entry with a state and returns the revision.
func (e *Endpoint) Register(state string) int64 { return e.register(state, 0) }

// RegisterCold writes the entry of a ready endpoint that stays cold for a time.
func (e *Endpoint) RegisterCold(left time.Duration) int64 { return e.register("ready", left) }

func (e *Endpoint) register(state string, cold time.Duration) int64 {
	e.mu.Lock()
	e.sequence++
	n := e.sequence
	e.mu.Unlock()
	return e.store.Put("servers/"+e.ID, map[string]any{
		"service": e.Service, "address": e.Address(), "zone": e.Zone, "version": "v1", "slots": 8, "state": state,
		"cold_remaining_ms": cold.Milliseconds(), "sequence": n, "born": e.born,
	})
}

// Close ends the endpoint and its connections.
func (e *Endpoint) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	_ = e.server.Close()
}

// Crash ends the endpoint's process, which is back after a time, and reports whether it was running.
func (e *Endpoint) Crash(downtime time.Duration) bool {
	address := e.Address()
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return false
	}
	e.down = true
	old := e.server
	e.mu.Unlock()
	go func() {
		_ = old.Close()
		time.Sleep(downtime)
		l, err := net.Listen("tcp", address)
		e.mu.Lock()
		defer e.mu.Unlock()
		if err != nil || e.closed {
			return
		}
		e.listener, e.down, e.born = l, false, time.Now().UnixMilli()
		e.server = &http.Server{Handler: e}
		go func(s *http.Server) { _ = s.Serve(l) }(e.server)
		go e.Register("ready")
	}()
	return true
}

// SetAnswer sets a function that may answer a request in place of the endpoint; it reports whether
// it did.
func (e *Endpoint) SetAnswer(f func(w http.ResponseWriter, r *http.Request) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answer = f
}

// Arrivals returns the requests that reached the endpoint.
func (e *Endpoint) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Cicadapitch-Request-Id")
	if target := r.Header.Get("Cicadapitch-Target-Instance"); target != "" && target != e.ID {
		w.Header().Set("Cicadapitch-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, Arrival{id, r.URL.Path, time.Now()})
	answer := e.answer
	e.mu.Unlock()
	w.Header().Set("Cicadapitch-Request-Id", id)
	w.Header().Set("Cicadapitch-Response-Seal", "seal."+id)
	if answer != nil && answer(w, r) {
		return
	}
	select {
	case <-time.After(e.Work):
	case <-r.Context().Done():
		return
	}
	fmt.Fprintf(w, "answer of %s to %s", e.ID, id)
}
