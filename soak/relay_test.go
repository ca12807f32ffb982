package soak_test

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// harm is what a relay does to the bytes that it passes on.
type harm int

const (
	none harm = iota
	// delayed bytes come late.
	delayed
	// silenced connections stay open and carry nothing more.
	silenced
	// deaf connections carry nothing towards the target.
	deaf
	// mute connections carry nothing towards the caller.
	mute
)

// relay passes TCP connections on to a target and harms them.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	harm  harm
	conns map[net.Conn]bool
}

func newRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: l, target: target, conns: map[net.Conn]bool{}}
	go r.accept()
	t.Cleanup(func() { l.Close(); r.reset() })
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// set harms all connections, those that are open among them.
func (r *relay) set(h harm) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.harm = h
}

// reset closes all connections at once.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			in.Close()
			continue
		}
		go r.pass(in, out, deaf)
		go r.pass(out, in, mute)
	}
}

// pass copies one way; oneWay is the harm that swallows just this way.
func (r *relay) pass(from, to net.Conn, oneWay harm) {
	r.mu.Lock()
	r.conns[from] = true
	r.mu.Unlock()
	defer func() {
		from.Close()
		to.Close()
		r.mu.Lock()
		delete(r.conns, from)
		r.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		h := r.harm
		r.mu.Unlock()
		if h == delayed {
			time.Sleep(time.Duration(50+rand.IntN(200)) * time.Millisecond)
		}
		// What a connection has lost it does not find again.
		lost = lost || h == silenced || h == oneWay
		if lost {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
