package bed

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Replica is one replica of a service. It keeps its id and its address when it starts again.
type Replica struct {
	ID, Service, Zone string
	// Address is its ip:port.
	Address string
	// Handle answers a request that the replica accepts. The head has its id and nothing else yet.
	Handle func(w http.ResponseWriter, r *http.Request, version string)
	// OnArrival, if set, is called with the id of each request that reaches the replica.
	OnArrival func(id string, at time.Time)

	bed *Bed

	mu       sync.Mutex
	version  string
	born     int64
	sequence int
	server   *http.Server
	coldTill time.Time
}

// NewReplica starts a replica in a zone.
func (b *Bed) NewReplica(index int, service, zone, version string) (*Replica, error) {
	r := &Replica{ID: fmt.Sprintf("i-%s-%d", service, index), Service: service, Zone: zone, bed: b}
	l, err := net.Listen("tcp", fmt.Sprintf("%s.2.%d:0", b.network, index))
	if err != nil {
		return nil, err
	}
	r.Address = l.Addr().String()
	r.serve(l, version)
	return r, nil
}

// serve starts a process of the replica.
func (r *Replica) serve(l net.Listener, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.born, r.sequence = version, time.Now().UnixMilli(), 0
	r.server = &http.Server{Handler: http.HandlerFunc(r.serveHTTP)}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server) // it serves until Stop
	r.bed.Log("replica %s: starts as version %s", r.ID, version)
}

// Stop ends the replica's process with all its channels.
func (r *Replica) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.server.Close()
	r.bed.Log("replica %s: its process ends", r.ID)
}

// Restart starts the replica again at its address.
func (r *Replica) Restart(version string) error {
	l, err := net.Listen("tcp", r.Address)
	if err != nil {
		return err
	}
	r.serve(l, version)
	return nil
}

// TurnCold makes the replica cold for a time from now.
func (r *Replica) TurnCold(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coldTill = time.Now().Add(d)
}

// Cold reports whether the replica is cold at an instant.
func (r *Replica) Cold(at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return at.Before(r.coldTill)
}

// Entry returns the entry that the replica writes to the store.
func (r *Replica) Entry(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": r.version, "slots": 64, "state": state,
		"cold_remaining_ms": max(time.Until(r.coldTill).Milliseconds(), 0), "sequence": r.sequence, "born": r.born,
		"stage": "", "models": []any{},
	}
}

// Key returns the store's key of the replica's entry.
func (r *Replica) Key() string { return "servers/" + r.ID }

// Version returns the version of the process that runs.
func (r *Replica) Version() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

func (r *Replica) serveHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	version, born, handle, arrived := r.version, r.born, r.Handle, r.OnArrival
	r.mu.Unlock()
	w.Header().Set("Cicadapitch-Instance-Id", r.ID)
	switch want := req.Header.Get("Cicadapitch-Target-Instance"); {
	case req.URL.Path == "/health":
		return
	case req.URL.Path == "/-/report":
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "prefill_decode", "models": []any{}, "busy": false, "born": born})
		return
	case want != "" && want != r.ID:
		w.Header().Set("Cicadapitch-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := req.Header.Get("Cicadapitch-Request-Id")
	if arrived != nil {
		arrived(id, time.Now())
	}
	w.Header().Set("Cicadapitch-Request-Id", id)
	handle(w, req, version)
}

// Seal adds the replica's seal to an answer.
func Seal(w http.ResponseWriter, id string) {
	w.Header().Set("Cicadapitch-Response-Seal", "seal."+id)
}
