package relay_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/relay"
)

// hosts is a host that is cut off and the relays that it knows. It implements relay.Fleet.
type hosts struct {
	relays    []fleet.Host
	dialer    *peer.Dialer
	endpoints []string
}

func (h *hosts) Relays(string) []fleet.Host  { return h.relays }
func (h *hosts) Relaying(r fleet.Host) bool  { return slices.Contains(h.relays, r) }
func (h *hosts) Dialer() *peer.Dialer        { return h.dialer }
func (h *hosts) EndpointAddresses() []string { return h.endpoints }

func refused(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
}

// newRelay starts a relay that connects with dial, and a host that is cut off and knows it.
func newRelay(t *testing.T, dial platform.DialFunc) (*relay.Server, *relay.Dialer, *relay.Table, *hosts) {
	return newRelayWith(t, dial, relay.NewTable(nil))
}

// newRelayWith is newRelay with the relay's own beliefs.
func newRelayWith(t *testing.T, dial platform.DialFunc, beliefs *relay.Table) (*relay.Server, *relay.Dialer, *relay.Table, *hosts) {
	key := []byte("key")
	clock := cicadapitch.NewSystemClock()
	server := relay.NewServer(dial, beliefs, clock, zerolog.Nop())
	peers := peer.NewServer(key)
	server.RegisterHandlers(peers)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peers)
	mux.Handle(relay.Path, server)
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	h := &hosts{
		relays: []fleet.Host{{ID: "relay", Peers: strings.TrimPrefix(s.URL, "http://")}},
		dialer: peer.NewDialer("cut", key),
	}
	table := relay.NewTable(nil)
	return server, relay.NewDialer("cut", refused, table, h, clock, zerolog.Nop()), table, h
}

// listen starts an endpoint that passes its connections to serve.
func listen(t *testing.T, serve func(*net.TCPConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func TestConnectionOverARelay(t *testing.T) {
	_, d, table, _ := newRelay(t, platform.DialEndpoint)
	address := listen(t, func(c *net.TCPConn) {
		defer c.Close()
		line, _ := bufio.NewReader(c).ReadString('\n') // the caller checks the answer
		io.WriteString(c, "got "+line)
	})
	c, err := d.DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "hello\n")
	require.NoError(t, err)
	b, err := io.ReadAll(c)
	require.NoError(t, err, "the endpoint closed in order")
	require.Equal(t, "got hello\n", string(b))
	require.Equal(t, relay.Relayed, table.State(cicadapitch.NewSystemClock().Now(), address))
}

// TestConnectionOverARelayThatLeavesIsNotKept guards against calls that end with their relay.
func TestConnectionOverARelayThatLeavesIsNotKept(t *testing.T) {
	_, d, _, h := newRelay(t, platform.DialEndpoint)
	address := listen(t, func(c *net.TCPConn) {
		defer c.Close()
		_, _ = io.Copy(io.Discard, c) // until the caller closes
	})
	c, err := d.DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	defer c.Close()
	outdated := c.(interface{ Outdated() bool }).Outdated
	require.False(t, outdated())
	h.relays = nil
	require.True(t, outdated())
}

// TestResetOfTheEndpointIsNotTakenForAnOrderlyEnd guards against answers without a length that
// look complete although they broke off.
func TestResetOfTheEndpointIsNotTakenForAnOrderlyEnd(t *testing.T) {
	_, d, _, _ := newRelay(t, platform.DialEndpoint)
	address := listen(t, func(c *net.TCPConn) {
		io.WriteString(c, "half")
		time.Sleep(100 * time.Millisecond)
		c.SetLinger(0)
		c.Close()
	})
	c, err := d.DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	defer c.Close()
	b, err := io.ReadAll(c)
	require.Equal(t, "half", string(b))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// TestEndpointSeesThatTheHostHasLeft guards against endpoints that go on with work that nobody
// waits for.
func TestEndpointSeesThatTheHostHasLeft(t *testing.T) {
	server, d, _, _ := newRelay(t, platform.DialEndpoint)
	ended := make(chan struct{})
	address := listen(t, func(c *net.TCPConn) {
		defer close(ended)
		_, _ = io.Copy(io.Discard, c) // ends with the connection
	})
	c, err := d.DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	require.Equal(t, 1, server.Open())
	c.Close()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		require.Fail(t, "the endpoint's connection is still open")
	}
	require.Eventually(t, func() bool { return server.Open() == 0 }, time.Second, 10*time.Millisecond)
}

// TestRelayConnectsDirectlyOnly guards against loops of hosts that are all cut off.
func TestRelayConnectsDirectlyOnly(t *testing.T) {
	_, d, table, _ := newRelay(t, func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	begun := time.Now()
	_, err := d.DialContext(t.Context(), "tcp", "127.0.0.1:1")
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.Less(t, time.Since(begun), 700*time.Millisecond)
	require.Equal(t, relay.Down, table.State(cicadapitch.NewSystemClock().Now(), "127.0.0.1:1"))
}

func TestStoppedRelayRefuses(t *testing.T) {
	server, d, _, _ := newRelay(t, platform.DialEndpoint)
	server.Stop()
	address := listen(t, func(c *net.TCPConn) { c.Close() })
	_, err := d.DialContext(t.Context(), "tcp", address)
	require.Error(t, err)
	require.Zero(t, server.Open())
}

// TestEndpointCountsAsEndedOnlyIfARelayIsRefusedToo guards against hosts that are cut off with
// resets and tell others that endpoints have crashed.
func TestEndpointCountsAsEndedOnlyIfARelayIsRefusedToo(t *testing.T) {
	_, d, _, h := newRelay(t, platform.DialEndpoint)
	alive := listen(t, func(c *net.TCPConn) { c.Close() })
	require.False(t, d.Refuses(t.Context(), alive))
	require.True(t, d.Refuses(t.Context(), "127.0.0.1:1"))
	_, silent, _, _ := newRelay(t, func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("timeout")
	})
	require.False(t, silent.Refuses(t.Context(), alive), "the relay does not know either")
	h.relays = nil
	require.True(t, d.Refuses(t.Context(), alive), "without other hosts this one decides")
}

// TestRelaysThatAreRefusedDoNotEndTheSearch guards against hosts that are cut off with resets and confirm to
// each other that endpoints are down while another host reaches them.
func TestRelaysThatAreRefusedDoNotEndTheSearch(t *testing.T) {
	_, d, table, h := newRelay(t, platform.DialEndpoint)
	reaching := h.relays
	h.relays = nil
	for range 3 {
		_, _, _, cut := newRelay(t, refused)
		h.relays = append(h.relays, cut.relays...)
	}
	alive := listen(t, func(c *net.TCPConn) { c.Close() })
	require.True(t, d.Refuses(t.Context(), alive), "all relays are refused")
	h.relays = slices.Concat(h.relays, reaching)
	require.False(t, d.Refuses(t.Context(), alive))
	c, err := d.DialContext(t.Context(), "tcp", alive)
	require.NoError(t, err)
	c.Close()
	require.Equal(t, relay.Relayed, table.State(cicadapitch.NewSystemClock().Now(), alive))
}

// TestRelayThatKnowsOfTheEndConfirmsIt guards against hosts that find out at the same time that
// an endpoint has ended, and refuse to confirm it to each other.
func TestRelayThatKnowsOfTheEndConfirmsIt(t *testing.T) {
	const address = "127.0.0.1:1"
	now := cicadapitch.NewSystemClock().Now()
	beliefs := relay.NewTable(nil)
	beliefs.RecordDirect(now, address, false)
	beliefs.RecordRelayed(now, address, false)
	require.Equal(t, relay.Down, beliefs.State(now, address))
	_, d, _, _ := newRelayWith(t, platform.DialEndpoint, beliefs)
	require.True(t, d.Refuses(t.Context(), address))
}
