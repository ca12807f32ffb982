package soak_test

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
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
	t       *testing.T
	address string
	target  string

	mu         sync.Mutex
	listener   net.Listener
	impairment impairment
	conns      map[net.Conn]bool
}

func newRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{t: t, address: l.Addr().String(), listener: l, target: target, conns: map[net.Conn]bool{}}
	go r.accept(l)
	t.Cleanup(func() { r.setDown(true); r.reset() })
	return r
}

// setDown makes the relay refuse connections and reset the open ones, as a target that has
// ended does, or accept them again.
func (r *relay) setDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if down {
		r.listener.Close()
		for c := range r.conns {
			closeWithReset(c)
		}
		return
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		r.t.Errorf("relay to %s: %v", r.target, err)
		return
	}
	r.listener = l
	go r.accept(l)
}

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

func (r *relay) accept(l net.Listener) {
	for {
		in, err := l.Accept()
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
	// TCP delivers an orderly close only after all data, and never after a reset.
	dropping, orderly := false, false
	defer func() {
		from.Close()
		if orderly && !dropping {
			to.Close()
		} else {
			closeWithReset(to)
		}
		r.mu.Lock()
		delete(r.conns, from)
		r.mu.Unlock()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			orderly = err == io.EOF
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

// TestRelayResetIsNoOrderlyClose guards against connections that end in order where the
// link was reset, which callers must take for the end of a close-delimited answer.
func TestRelayResetIsNoOrderlyClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = c.Write([]byte("part"))
				_, _ = io.Copy(io.Discard, c) // ends with the reset
				c.Close()
			}()
		}
	}()
	r := newRelay(t, l.Addr().String())
	for range 200 {
		var conns []net.Conn
		for range 4 {
			c, err := net.Dial("tcp", r.address)
			require.NoError(t, err)
			_, err = io.ReadFull(c, make([]byte, len("part")))
			require.NoError(t, err)
			conns = append(conns, c)
		}
		r.reset()
		for _, c := range conns {
			_, err := c.Read(make([]byte, 1))
			require.ErrorIs(t, err, syscall.ECONNRESET)
			c.Close()
		}
	}
}
