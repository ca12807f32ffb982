package membership_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// silenceableConn delivers nothing once its generation is over, like a connection that falls silent
// without a reset.
type silenceableConn struct {
	net.Conn
	generation int64
	current    *atomic.Int64
	closed     chan struct{}
}

func (c *silenceableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.current.Load() != c.generation {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silenceableConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return c.Conn.Close()
}

// TestSilentWatchDoesNotHideChangesOfTheStore guards against hosts that wait for the end of a long watch
// whose connection has fallen silent while new connections work.
func TestSilentWatchDoesNotHideChangesOfTheStore(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	var generation atomic.Int64
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &silenceableConn{c, generation.Load(), &generation, make(chan struct{})}, nil
	}
	settings := newPeerSettings(s.Address())
	m := membership.New(settings, membership.WithStore(platform.NewStore([]string{"http://" + s.Address()}, platform.WithDialContext(dial))))
	go m.FollowStore(t.Context())
	go m.RunHeartbeats(t.Context())
	version := func() int64 {
		if c := m.View().Catalog; c != nil {
			return c.Version
		}
		return 0
	}
	for next := int64(1); next <= 3; next++ {
		eventually(t, 4000, func() bool { return version() == next })
		generation.Add(1)
		s.Set(platformtest.ConfigKey, platformtest.Config(int(next)+1, "", 14))
	}
	age, ok := m.KnowledgeAge()
	require.True(t, ok)
	require.Less(t, age, 4*cicadapitch.Second)
}

// TestSilentOutageOfTheStoreIsNoticedDuringALongWatch guards against hosts that take entries which expired
// while the store did not answer for entries that their writers removed, since their watch still waits.
func TestSilentOutageOfTheStoreIsNoticedDuringALongWatch(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	for i, id := range []string{"a", "b"} {
		s.Set(platformtest.EndpointKey(id), []byte(fmt.Sprintf(endpointEntry, i+1, "ready", 1)))
	}
	var generation atomic.Int64
	var away atomic.Bool
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if away.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &silenceableConn{c, generation.Load(), &generation, make(chan struct{})}, nil
	}
	store := platform.NewStore([]string{"http://" + s.Address()}, platform.WithDialContext(dial))
	settings := newPeerSettings(s.Address())
	h, stop := startHostAt(t, settings, platformtest.NewLink(fastMbps), membership.WithStore(store))
	t.Cleanup(stop)
	eventually(t, 3000, func() bool { return endpointCount(h.Membership) == 2 && len(h.View().Hosts) == 1 })
	time.Sleep(time.Second)
	away.Store(true)
	generation.Add(1)
	time.Sleep(4 * time.Second)
	s.Remove(platformtest.EndpointKey("a"))
	s.Remove(platformtest.EndpointKey("b"))
	away.Store(false)
	for range 10 {
		require.Equal(t, 2, endpointCount(h.Membership))
		time.Sleep(100 * time.Millisecond)
	}
	s.Set(platformtest.EndpointKey("a"), []byte(fmt.Sprintf(endpointEntry, 1, "ready", 2)))
	eventually(t, 5000, func() bool { v := h.View().Endpoints("s"); return len(v) == 1 && v[0].ID == "a" })
}
