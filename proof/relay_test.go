package proof_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay forwards TCP connections to target. Silenced connections stay open but
// forward no more data, as when a middlebox has dropped their state. Connections
// opened later work.
type relay struct {
	listener    net.Listener
	target      string
	refusing    atomic.Bool
	mu          sync.Mutex
	connections []*relayedConnection
}

// relayedConnection is a connection through a relay, with the connections to both
// of its ends.
type relayedConnection struct {
	silent atomic.Bool
	ends   [2]net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: listener, target: target}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := r.dial()
		if err != nil {
			_ = in.Close()
			continue
		}
		c := &relayedConnection{ends: [2]net.Conn{in, out}}
		r.mu.Lock()
		r.connections = append(r.connections, c)
		r.mu.Unlock()
		go c.forward(in, out)
		go c.forward(out, in)
	}
}

func (r *relay) dial() (net.Conn, error) {
	if r.refusing.Load() {
		return nil, net.ErrClosed
	}
	return net.Dial("tcp", r.target)
}

// disconnect silences all open connections and refuses new ones.
func (r *relay) disconnect() {
	r.refusing.Store(true)
	r.silence()
}

// forward copies data until the connection ends. Once the connection is silent, it
// discards all data and does not forward the close either.
func (c *relayedConnection) forward(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if c.silent.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			_ = to.Close()
			return
		}
	}
}

// silence silences all open connections and returns the number of those that were
// not silent before.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, c := range r.connections {
		if c.silent.CompareAndSwap(false, true) {
			n++
		}
	}
	return n
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.connections {
		_ = c.ends[0].Close()
		_ = c.ends[1].Close()
	}
}
