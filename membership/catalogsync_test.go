package membership_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// fastMbps is the bandwidth of a link that delays nothing.
const fastMbps = 10_000

// nextPeerIP gives each host of the tests an address of its own.
var nextPeerIP atomic.Int32

// peerHost is a host that other hosts can call, and its calls to others.
type peerHost struct {
	*membership.Membership
	settings *platform.Settings
}

func newPeerSettings(store string) *platform.Settings {
	ip := platformtest.LoopbackAddress(251, int(nextPeerIP.Add(1)))
	return &platform.Settings{
		Host: cicadapitch.HostID(ip), IP: ip, Zone: "z", PeerPort: 7740, CallerListen: ip + ":8001",
		Store:  platform.StoreSettings{Address: store, MinLease: 1000},
		Bounds: platform.Bounds{ConfigurationDelay: 2000, LeavingDelay: 2000},
	}
}

// startPeerHost starts a host that follows the store at the given address and has a fast
// link.
func startPeerHost(t *testing.T, store string) *peerHost {
	return startLinkedHost(t, store, platformtest.NewLink(fastMbps))
}

// startLinkedHost starts a host whose connections to other hosts use a link.
func startLinkedHost(t *testing.T, store string, link *platformtest.Link) *peerHost {
	h, stop := startHostAt(t, newPeerSettings(store), link)
	t.Cleanup(stop)
	return h
}

// startHostAt starts a host with the given settings, and returns a function that ends it without
// notice.
func startHostAt(t *testing.T, s *platform.Settings, link *platformtest.Link, opts ...membership.Option) (*peerHost, func()) {
	h := &peerHost{settings: s}
	h.Membership = membership.New(h.settings, opts...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	for _, run := range []func(context.Context){h.FollowStore, h.KeepRegistered, h.RunHeartbeats} {
		go func() { run(ctx); done <- struct{}{} }()
	}
	secret, err := h.Secret(ctx)
	require.NoError(t, err)
	server := peer.NewServer(secret)
	peer.Handle(server, "request", func(_ context.Context, n int) ([]byte, error) { return make([]byte, n), nil })
	newDialer := func() *peer.Dialer {
		return peer.NewDialer(h.settings.Host, secret, peer.WithDialContext(link.DialContext))
	}
	h.EnablePeerCalls(server, membership.Dialers{Requests: newDialer(), Control: newDialer(), Bulk: newDialer()})
	stopServing := servePeers(t, h.settings.PeerAddress(), server, link)
	return h, func() {
		cancel()
		for range 3 {
			<-done
		}
		stopServing()
	}
}

// servePeers serves calls of other hosts over a link until the returned function is called.
func servePeers(t *testing.T, address string, s *peer.Server, link *platformtest.Link) func() {
	l, err := net.Listen("tcp", address)
	require.NoError(t, err)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, s)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(link.Listener(l)) }()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Close(ctx)
		server.Close()
	}
}

func version(m *membership.Membership) int64 {
	if c := m.View().Catalog; c != nil {
		return c.Version
	}
	return 0
}

func routeExists(m *membership.Membership, path string) bool {
	c := m.View().Catalog
	return c != nil && c.Match("h.example", path) != nil
}

// fakePeer is a host that says that it has a version of the configuration, and answers
// requests for changes with reply or an error.
type fakePeer struct {
	version atomic.Int64
	reply   atomic.Pointer[membership.CatalogReply]
	asked   atomic.Int32
}

// startFakePeer registers a fakePeer in the store.
func startFakePeer(t *testing.T, s *platformtest.Store, secret []byte) *fakePeer {
	f, settings := &fakePeer{}, newPeerSettings(s.Address())
	server := peer.NewServer(secret)
	peer.Handle(server, "beat", func(context.Context, membership.Heartbeat) (membership.Heartbeat, error) {
		return membership.Heartbeat{
			Host: settings.Host, Incarnation: "fake", Ready: true,
			Catalog: membership.CatalogHead{Version: f.version.Load(), Revision: 1 << 40, Age: 100},
		}, nil
	})
	peer.Handle(server, "catalogchange", func(context.Context, membership.CatalogRequest) (membership.CatalogReply, error) {
		f.asked.Add(1)
		if r := f.reply.Load(); r != nil {
			return *r, nil
		}
		return membership.CatalogReply{}, cicadapitch.NewError(cicadapitch.Unavailable, "not now", "later")
	})
	t.Cleanup(servePeers(t, settings.PeerAddress(), server, platformtest.NewLink(fastMbps)))
	s.Set("hosts/fake", map[string]string{"Host": "fake", "Incarnation": "fake", "Zone": "z", "Callers": settings.CallerListen, "Peers": settings.PeerAddress()})
	return f
}

// TestHostsThatTheStoreRefusesGetChangesFromOthers covers a host that the store refuses
// while others follow it: added routes are served, removed ones are not, and the version
// never goes back.
func TestHostsThatTheStoreRefusesGetChangesFromOthers(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	relay := platformtest.NewGate(s.Address())
	defer relay.Close()
	refused, other := startPeerHost(t, relay.Address()), startPeerHost(t, s.Address())
	eventually(t, 5000, func() bool { return len(refused.Hosts()) == 2 && len(other.Hosts()) == 2 })
	relay.Shut()
	s.Set(platformtest.ConfigKey, platformtest.Config(4, platformtest.ExtraRoute, 14))
	eventually(t, 3000, func() bool { return version(refused.Membership) == 4 })
	require.True(t, routeExists(refused.Membership, "/new/x"))
	s.Set(platformtest.ConfigKey, platformtest.Config(9, "", 14))
	eventually(t, 3000, func() bool { return version(refused.Membership) == 9 })
	require.False(t, routeExists(refused.Membership, "/new/x"))
	require.True(t, routeExists(refused.Membership, "/look/x"))
	// An older version in the store changes nothing, also for a host that lists it anew.
	s.Set(platformtest.ConfigKey, platformtest.Config(4, platformtest.ExtraRoute, 14))
	relay.Open()
	for range 10 {
		time.Sleep(150 * time.Millisecond)
		require.EqualValues(t, 9, version(refused.Membership))
		require.EqualValues(t, 9, version(other.Membership))
	}
}

// TestInvalidConfigurationsAreIgnored covers an invalid value in the store and invalid
// changes from another host. The next valid configuration comes into force.
func TestInvalidConfigurationsAreIgnored(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	h := startPeerHost(t, s.Address())
	eventually(t, 3000, h.Ready)
	for _, invalid := range []string{`{"version":5}`, `{"version":5,"routes":[`, `{"version":5,"services":[],"routes":[{"host":"h.example","prefix":"look","kind":"safe","service":"plain"}]}`} {
		s.Set(platformtest.ConfigKey, []byte(invalid))
		time.Sleep(300 * time.Millisecond)
		require.EqualValues(t, 1, version(h.Membership), invalid)
	}
	secret, err := h.Secret(context.Background())
	require.NoError(t, err)
	f := startFakePeer(t, s, secret)
	f.reply.Store(&membership.CatalogReply{Head: membership.CatalogHead{Version: 6}, Change: []byte("no change")})
	f.version.Store(6)
	eventually(t, 3000, func() bool { return f.asked.Load() > 1 })
	require.EqualValues(t, 1, version(h.Membership))
	require.True(t, routeExists(h.Membership, "/look/x"))
	s.Set(platformtest.ConfigKey, platformtest.Config(6, platformtest.ExtraRoute, 14))
	eventually(t, 2000, func() bool { return version(h.Membership) == 6 })
	require.Zero(t, h.CatalogLag().Latest)
}

// TestHostThatIsBehindSaysSoAndLeavesTheDirectory covers a host that has heard of a version
// which it cannot get: it is stale after half of the time within which changes have to be
// in force, and ready again once it has the version.
func TestHostThatIsBehindSaysSoAndLeavesTheDirectory(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	h := startPeerHost(t, s.Address())
	eventually(t, 3000, h.Ready)
	secret, err := h.Secret(context.Background())
	require.NoError(t, err)
	f := startFakePeer(t, s, secret)
	f.version.Store(7)
	eventually(t, 3000, func() bool { return h.CatalogLag().Latest == 7 })
	lag := h.CatalogLag()
	require.EqualValues(t, 1, lag.Version)
	require.GreaterOrEqual(t, lag.Age, cicadapitch.Millis(100))
	require.Equal(t, lag.Age >= 1000, lag.Stale)
	eventually(t, 2000, func() bool { return h.CatalogLag().Stale && !h.Ready() })
	s.Set(platformtest.ConfigKey, platformtest.Config(7, "", 14))
	eventually(t, 2000, func() bool { return h.CatalogLag().Latest == 0 && h.Ready() })
}

// TestChangesDoNotWaitBehindRequests queues responses that take a slow link several seconds,
// and checks that heartbeats and a change still reach the other host.
func TestChangesDoNotWaitBehindRequests(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	gate := platformtest.NewGate(s.Address())
	defer gate.Close()
	busy, other := startLinkedHost(t, s.Address(), platformtest.NewLink(4)), startPeerHost(t, gate.Address())
	eventually(t, 5000, func() bool { return len(busy.Hosts()) == 2 && len(other.Hosts()) == 2 })
	gate.Shut()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range 8 {
		go func() {
			_, _ = peer.Call[int, []byte](ctx, other.Dialer(), busy.settings.PeerAddress(), "request", 500_000)
		}()
	}
	time.Sleep(300 * time.Millisecond)
	s.Set(platformtest.ConfigKey, platformtest.Config(4, platformtest.ExtraRoute, 14))
	eventually(t, 2000, func() bool { return version(other.Membership) == 4 })
	require.Len(t, other.Hosts(), 2)
}
