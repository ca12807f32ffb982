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
	var d silenceable
	settings := newPeerSettings(s.Address())
	m := membership.New(settings, membership.WithStore(platform.NewStore([]string{"http://" + s.Address()}, platform.WithDialContext(d.dial))))
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
		d.silence()
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
	var d silenceable
	store := platform.NewStore([]string{"http://" + s.Address()}, platform.WithDialContext(d.dial))
	settings := newPeerSettings(s.Address())
	h, stop := startHostAt(t, settings, platformtest.NewLink(fastMbps), membership.WithStore(store))
	t.Cleanup(stop)
	eventually(t, 3000, func() bool { return endpointCount(h.Membership) == 2 && len(h.View().Hosts) == 1 })
	time.Sleep(time.Second)
	d.away.Store(true)
	d.silence()
	time.Sleep(4 * time.Second)
	s.Remove(platformtest.EndpointKey("a"))
	s.Remove(platformtest.EndpointKey("b"))
	d.away.Store(false)
	for range 10 {
		require.Equal(t, 2, endpointCount(h.Membership))
		time.Sleep(100 * time.Millisecond)
	}
	s.Set(platformtest.EndpointKey("a"), []byte(fmt.Sprintf(endpointEntry, 1, "ready", 2)))
	eventually(t, 5000, func() bool { v := h.View().Endpoints("s"); return len(v) == 1 && v[0].ID == "a" })
}

// silenceable opens connections that fall silent together, and none while it is away.
type silenceable struct {
	generation atomic.Int64
	away       atomic.Bool
}

// silence makes all open connections silent.
func (s *silenceable) silence() { s.generation.Add(1) }

func (s *silenceable) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if s.away.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &silenceableConn{c, s.generation.Load(), &s.generation, make(chan struct{})}, nil
}

const (
	// configApply is the time within which a configuration has to be in force, contact that after which hosts are
	// in touch again.
	configApply cicadapitch.Millis = 2000
	contact     cicadapitch.Millis = 3000
)

// TestConfigurationIsInForceInTimeAfterSilence guards against watches that fall silent, or get lost while the store
// is away, and hold a configuration back until their time-out.
func TestConfigurationIsInForceInTimeAfterSilence(t *testing.T) {
	for _, c := range []struct {
		name string
		// silent is the number of hosts whose open connections fall silent.
		silent int
		// away is how long they get no new ones, and change writes a configuration when that begins.
		away   cicadapitch.Millis
		change bool
		// pause is the time from then to the change, which has to be in force within the time that follows.
		pause, within cicadapitch.Millis
	}{
		{"all connections", 3, 0, false, contact + 200, configApply},
		{"all connections, a change at once", 3, 0, false, 0, contact},
		{"connections of one host", 1, 0, false, 0, configApply},
		{"outage", 3, 3000, true, 1200, configApply},
		{"outage of one host", 1, 3000, true, 0, configApply},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := platformtest.NewStore()
			defer s.Close()
			s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
			setEndpoint(s, "a", 1, "ready")
			var hosts []*peerHost
			var dialers []*silenceable
			for range 3 {
				d := &silenceable{}
				store := platform.NewStore([]string{"http://" + s.Address()}, platform.WithDialContext(d.dial))
				h, stop := startHostAt(t, newPeerSettings(s.Address()), platformtest.NewLink(fastMbps), membership.WithStore(store))
				t.Cleanup(stop)
				hosts, dialers = append(hosts, h), append(dialers, d)
			}
			for _, h := range hosts {
				eventually(t, 4000, func() bool { return version(h.Membership) == 1 && len(h.Hosts()) == 3 })
			}
			time.Sleep(time.Second)
			next := 2
			for round := range 3 {
				if c.change {
					s.Set(platformtest.ConfigKey, platformtest.Config(next, "", 14))
					next++
					time.Sleep(100 * time.Millisecond)
				}
				for i := range c.silent {
					d := dialers[(round+i)%len(dialers)]
					d.away.Store(c.away > 0)
					d.silence()
				}
				time.Sleep(c.away.Duration())
				for _, d := range dialers {
					d.away.Store(false)
				}
				time.Sleep(c.pause.Duration())
				s.Set(platformtest.ConfigKey, platformtest.Config(next, "", 14))
				setAt := time.Now()
				for _, h := range hosts {
					eventually(t, c.within, func() bool { return version(h.Membership) == int64(next) })
				}
				t.Logf("in force after %d ms", time.Since(setAt).Milliseconds())
				next++
			}
		})
	}
}
