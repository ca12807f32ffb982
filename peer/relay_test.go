package peer_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay forwards TCP connections to a server. It can drop the traffic of its
// connections in one direction or both without closing them, like a middlebox
// that has lost their state.
type relay struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns []*relayedConn
}

// relayedConn is one connection through the relay.
type relayedConn struct {
	client, server               net.Conn
	dropUpstream, dropDownstream atomic.Bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: l, target: target}
	r.wg.Go(r.accept)
	t.Cleanup(func() {
		_ = l.Close()
		r.closeConns()
		r.wg.Wait()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &relayedConn{client: client, server: server}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		r.wg.Go(func() { forward(server, client, &c.dropUpstream) })
		r.wg.Go(func() { forward(client, server, &c.dropDownstream) })
	}
}

// forward copies bytes until one end closes. While drop is set, it discards the
// bytes and does not forward the close either.
func forward(to, from net.Conn, drop *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if drop.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// dropTraffic drops the traffic of the current connections upstream (to the
// server) and downstream. New connections are forwarded.
func (r *relay) dropTraffic(up, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.dropUpstream.Store(up)
		c.dropDownstream.Store(down)
	}
}

// closeConns closes the current connections.
func (r *relay) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.client.Close()
		_ = c.server.Close()
	}
	r.conns = nil
}

func (r *relay) connCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}
