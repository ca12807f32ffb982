package bed3

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// checkInPause is the time between two entries of a replica in the store.
const checkInPause = 1200 * time.Millisecond

// Exchange is a request that a replica has got, of whose body nothing has been read.
type Exchange struct {
	Replica *Replica
	Request *http.Request
	Conn    *net.TCPConn
	// ID is the request's id.
	ID string
}

// Serve answers a request and reports whether the connection takes another one.
type Serve func(x *Exchange) (keep bool)

// Replica is a replica of a service: a server of HTTP/1.1 that checks in at the store.
type Replica struct {
	ID, Service, Zone, Version, Address string

	bed      *Bed
	serve    Serve
	listener net.Listener
	mu       sync.Mutex
	sequence int
	state    string
	born     int64
	conns    map[*net.TCPConn]bool
	// down is true while there is no process of the replica.
	down    bool
	stopped chan struct{}
}

// AddReplica starts a replica that answers with serve.
func (b *Bed) AddReplica(id, service, zone, version string, serve Serve) (*Replica, error) {
	l, err := net.Listen("tcp", platformtest.LoopbackAddress(2, 1)+":0")
	if err != nil {
		return nil, err
	}
	r := &Replica{
		ID: id, Service: service, Zone: zone, Version: version, Address: l.Addr().String(),
		bed: b, serve: serve, listener: l, state: "ready", born: time.Now().UnixMilli(), stopped: make(chan struct{}), conns: map[*net.TCPConn]bool{},
	}
	b.onStop(r.stop)
	go r.accept(l)
	r.checkIn()
	go r.keepCheckingIn()
	return r, nil
}

// stop ends the replica for good.
func (r *Replica) stop() {
	close(r.stopped)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
}

// SetState changes the state in the replica's entry.
func (r *Replica) SetState(state string) {
	r.mu.Lock()
	r.state = state
	r.mu.Unlock()
	r.checkIn()
}

// checkIn writes the replica's entry.
func (r *Replica) checkIn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.sequence++
	r.bed.Store.Set(platformtest.EndpointKey(r.ID), map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": r.Version, "slots": 64, "state": r.state,
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	})
}

func (r *Replica) keepCheckingIn() {
	for {
		select {
		case <-r.stopped:
			return
		case <-time.After(checkInPause):
			r.checkIn()
		}
	}
}

func (r *Replica) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.serveConn(c.(*net.TCPConn))
	}
}

// serveConn answers the requests of a connection.
func (r *Replica) serveConn(c *net.TCPConn) {
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, c)
	}()
	for reader := bufio.NewReaderSize(c, 4096); ; {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		x := &Exchange{Replica: r, Request: req, Conn: c, ID: req.Header.Get("Cicadapitch-Request-Id")}
		if want := req.Header.Get("Cicadapitch-Target-Instance"); want != "" && want != r.ID {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nCicadapitch-Instance-Id: %s\r\nCicadapitch-Request-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", r.ID, x.ID)
			return
		}
		if !r.serve(x) {
			return
		}
	}
}

// WriteHead writes the head of a successful answer with the request's id and a MAC. lines are further lines of it.
func (x *Exchange) WriteHead(lines string) error {
	_, err := fmt.Fprintf(x.Conn, "HTTP/1.1 200 OK\r\nCicadapitch-Request-Id: %s\r\nCicadapitch-Response-Seal: seal-%s\r\n%s\r\n", x.ID, x.ID, lines)
	return err
}

// WriteChunk writes a chunk, or the last one if b is empty.
func (x *Exchange) WriteChunk(b string) error {
	_, err := fmt.Fprintf(x.Conn, "%x\r\n%s\r\n", len(b), b)
	return err
}

// Crash ends all channels of the replica with resets. Its process is back after a time, under the same id and address.
func (r *Replica) Crash(down time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return
	}
	r.down = true
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.SetLinger(0) // the close that follows is a reset
		_ = c.Close()
	}
	time.AfterFunc(down, r.restart)
}

// restart starts another process of the replica.
func (r *Replica) restart() {
	l, err := net.Listen("tcp", r.Address)
	if err != nil {
		r.bed.Record("replica %s does not start again: %v", r.ID, err)
		return
	}
	r.mu.Lock()
	r.listener, r.down, r.born = l, false, time.Now().UnixMilli()
	r.mu.Unlock()
	go r.accept(l)
	r.checkIn()
}
