package proof_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay passes TCP connections on. Silenced connections stay open but pass on
// nothing more, as when something between the two ends has lost track of them;
// later connections work.
type relay struct {
	listener net.Listener
	target   string
	cut      atomic.Bool
	mu       sync.Mutex
	links    []*link
}

// link is one connection through a relay.
type link struct {
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
		l := &link{ends: [2]net.Conn{in, out}}
		r.mu.Lock()
		r.links = append(r.links, l)
		r.mu.Unlock()
		go l.pass(in, out)
		go l.pass(out, in)
	}
}

func (r *relay) dial() (net.Conn, error) {
	if r.cut.Load() {
		return nil, net.ErrClosed
	}
	return net.Dial("tcp", r.target)
}

// cutOff makes all present connections silent and refuses new ones.
func (r *relay) cutOff() {
	r.cut.Store(true)
	r.silence()
}

// pass copies until the connection ends. A silent link swallows all, its end
// included.
func (l *link) pass(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if l.silent.Load() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			_ = to.Close()
			return
		}
	}
}

// silence makes all present connections silent and returns their number.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, l := range r.links {
		if l.silent.CompareAndSwap(false, true) {
			n++
		}
	}
	return n
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		_ = l.ends[0].Close()
		_ = l.ends[1].Close()
	}
}
