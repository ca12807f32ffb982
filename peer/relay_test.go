package peer_test

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay passes TCP on to a server and can lose track of the connections that
// it has, in one direction or both, without closing them.
type relay struct {
	listener net.Listener
	target   string
	wg       sync.WaitGroup

	mu    sync.Mutex
	pairs []*pair
}

// pair is one connection through the relay.
type pair struct {
	client, server   net.Conn
	upLost, downLost atomic.Bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{listener: l, target: target}
	r.wg.Go(r.accept)
	t.Cleanup(func() {
		_ = l.Close()
		r.cut()
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
		p := &pair{client: client, server: server}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		r.wg.Go(func() { pass(server, client, &p.upLost) })
		r.wg.Go(func() { pass(client, server, &p.downLost) })
	}
}

// pass copies until one end closes. A lost direction is read and dropped, and
// its end is not passed on either.
func pass(to, from net.Conn, lost *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if lost.Load() {
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

// silence loses track of the connections there are. New ones pass.
func (r *relay) silence(up, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.upLost.Store(up)
		p.downLost.Store(down)
	}
}

// cut closes the connections there are.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		_ = p.client.Close()
		_ = p.server.Close()
	}
	r.pairs = nil
}

func (r *relay) connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}
