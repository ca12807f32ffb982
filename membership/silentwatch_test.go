package membership_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

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
