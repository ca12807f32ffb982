package soak_test

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// impairment is what a relay does to the data that it forwards.
type impairment int

const (
	unimpaired impairment = iota
	// delayed forwards data after 50 to 250 ms.
	delayed
	// dropAll keeps connections open and forwards nothing.
	dropAll
	// dropToTarget forwards nothing to the target.
	dropToTarget
	// dropToCaller forwards nothing to the caller.
	dropToCaller
)

// relay forwards TCP connections to a target and impairs them.
type relay struct {
	listener net.Listener
	target   string

	mu         sync.Mutex
	impairment impairment
	conns      map[net.Conn]bool
}

func newRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: l, target: target, conns: map[net.Conn]bool{}}
	go r.accept()
	t.Cleanup(func() { l.Close(); r.reset() })
	return r
}

// address returns the ip:port that the relay listens at.
func (r *relay) address() string { return r.listener.Addr().String() }

// impair sets the impairment of all connections, including those that are open.
func (r *relay) impair(i impairment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.impairment = i
}

// reset closes all open connections, with a TCP reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		closeWithReset(c)
	}
}

func closeWithReset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
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
		go r.forward(in, out, dropToTarget)
		go r.forward(out, in, dropToCaller)
	}
}

// forward copies the data of one direction. dropsThis is the impairment that drops the
// data of this direction only.
func (r *relay) forward(from, to net.Conn, dropsThis impairment) {
	r.mu.Lock()
	r.conns[from] = true
	r.mu.Unlock()
	dropping := false
	defer func() {
		from.Close()
		if dropping {
			// TCP never delivers an orderly close after lost data.
			closeWithReset(to)
		}
		to.Close()
		r.mu.Lock()
		delete(r.conns, from)
		r.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		current := r.impairment
		r.mu.Unlock()
		if current == delayed {
			time.Sleep(time.Duration(50+rand.IntN(200)) * time.Millisecond)
		}
		// A connection that has dropped data never forwards any again, so that no
		// stream resumes with a gap.
		dropping = dropping || current == dropAll || current == dropsThis
		if dropping {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
