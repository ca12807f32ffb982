package peer_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/peer"
)

// cutConn is a connection that ends after a number of bytes in one direction. A negative number
// is no limit.
type cutConn struct {
	net.Conn
	mu          sync.Mutex
	read, write int
}

// take returns how many of n bytes may pass, and whether the connection ends with them.
func (c *cutConn) take(left *int, n int) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *left < 0 {
		return n, false
	}
	n = min(n, *left)
	*left -= n
	return n, *left == 0
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	n, cut := c.take(&c.read, n)
	if cut {
		_ = c.Close()
		return n, io.EOF
	}
	return n, err
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	n, cut := c.take(&c.write, len(p))
	n, err := c.Conn.Write(p[:n])
	if cut {
		_ = c.Close()
		return n, net.ErrClosed
	}
	return n, err
}

// TestCutMessageIsNoMessage cuts the connection of a call at every byte, in each direction, from the
// upgrade to the answer. A call returns the whole answer or an error, and has not run if it says so.
func TestCutMessageIsNoMessage(t *testing.T) {
	const maxBytes = 4096
	padding := strings.Repeat("whole ", 40)
	var (
		mu     sync.Mutex
		ran    = map[string]bool{}
		notRun []string
	)
	s := peer.NewServer(key)
	peer.Handle(s, "echo", func(_ context.Context, q echoRequest) (echoResponse, error) {
		mu.Lock()
		defer mu.Unlock()
		ran[q.Text] = true
		return echoResponse(q), nil
	})
	address := startServer(t, s)
	call := func(read, write int) error {
		d := newDialer(t, peer.WithDialContext(func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &cutConn{Conn: c, read: read, write: write}, err
		}))
		defer func() { _ = d.Close(t.Context()) }()
		text := fmt.Sprintf("read %d, written %d %s", read, write, padding)
		got, err := peer.Call[echoRequest, echoResponse](t.Context(), d, address, "echo", echoRequest{text})
		switch {
		case err == nil:
			require.Equal(t, text, got.Text)
		case cicadapitch.KindOf(err) == cicadapitch.NotRun:
			notRun = append(notRun, text)
		default:
			require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err), "%s: %v", text, err)
		}
		return err
	}
	for _, c := range []struct {
		name string
		call func(n int) error
	}{
		{"answer", func(n int) error { return call(n, -1) }},
		{"request", func(n int) error { return call(-1, n) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := 0
			for c.call(n) != nil {
				n++
				require.Less(t, n, maxBytes, "no call succeeded")
			}
			require.Greater(t, n, len(padding))
		})
	}
	require.NoError(t, s.Close(t.Context()))
	for _, text := range notRun {
		require.False(t, ran[text], text)
	}
	for text := range ran {
		require.True(t, strings.HasSuffix(text, padding), text)
	}
}
