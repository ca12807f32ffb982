package host_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/host"
	"cicadapitch.example/cicadapitch/peer"
)

const pingName = "host.Ping"

// peerTransport sends pings over connections of package peer.
type peerTransport struct{ dialer *peer.Dialer }

func (o peerTransport) Ping(ctx context.Context, address string, p host.Ping) (host.Ack, error) {
	return peer.Call[host.Ping, host.Ack](ctx, o.dialer, address, pingName, p)
}

// process is a running group with its peer server and dialer.
type process struct {
	group  *host.Group
	server *peer.Server
	dialer *peer.Dialer
	http   *httptest.Server
	cancel context.CancelFunc
	ended  chan error
}

func startProcess(t *testing.T, id cicadapitch.HostID, seeds ...string) *process {
	t.Helper()
	key := []byte("deployment key")
	p := &process{server: peer.NewServer(key), dialer: peer.NewDialer(id, key), ended: make(chan error, 1)}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, p.server)
	p.http = httptest.NewServer(mux)
	self := cicadapitch.Member{
		Host: id, Incarnation: cicadapitch.Incarnation(len(id)), State: cicadapitch.Ready, Revision: 1,
		PeerAddress: strings.TrimPrefix(p.http.URL, "http://"), StoreUp: true,
		Claims: []cicadapitch.Claim{{Shard: cicadapitch.ShardID("shard of " + id), Fencing: 3}},
	}
	p.group = host.New(self, host.WithSeeds(seeds), host.WithTransport(peerTransport{p.dialer}))
	peer.Handle(p.server, pingName, p.group.Handle)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.ended <- p.group.Run(ctx) }()
	return p
}

func (p *process) stop(t *testing.T) {
	t.Helper()
	p.cancel()
	require.NoError(t, <-p.ended)
	require.NoError(t, p.dialer.Close(context.Background()))
	require.NoError(t, p.server.Close(context.Background()))
	p.http.Close()
}

// waitForMembers blocks until the members of g satisfy the condition.
func waitForMembers(g *host.Group, condition func([]cicadapitch.Member) bool) {
	done := make(chan struct{})
	var once sync.Once
	g.Subscribe(func(members []cicadapitch.Member) {
		if condition(members) {
			once.Do(func() { close(done) })
		}
	})
	// Changing the own record triggers a notification with the current members.
	g.Update(func(m *cicadapitch.Member) { m.CallerURL += "x" })
	<-done
}

func TestGroupsExchangeMembersOverPeerConnections(t *testing.T) {
	a := startProcess(t, "a")
	b := startProcess(t, "bb", a.group.Self().PeerAddress)
	c := startProcess(t, "ccc", a.group.Self().PeerAddress)
	waitForMembers(b.group, func(members []cicadapitch.Member) bool { return len(members) == 3 })
	c.group.Update(func(m *cicadapitch.Member) {
		m.Revision, m.StoreUp = 2, false
		m.Claims[0].Load.Queued = 9
	})
	waitForMembers(b.group, func(members []cicadapitch.Member) bool {
		m, ok := lo.Find(members, func(m cicadapitch.Member) bool { return m.Host == "ccc" })
		return ok && m.Revision == 2 && len(m.Claims) == 1 && m.Claims[0].Shard == "shard of ccc" && m.Claims[0].Fencing == 3
	})
	up, down := b.group.StoreReachability()
	require.Equal(t, []int{2, 1}, []int{up, down})
	c.group.Update(func(m *cicadapitch.Member) { m.State = cicadapitch.Leaving })
	c.stop(t)
	// The departure message removes c before any host suspects it.
	waitForMembers(b.group, func(members []cicadapitch.Member) bool {
		for _, m := range members {
			require.NotEqual(t, cicadapitch.Suspect, m.State)
		}
		return len(members) == 2
	})
	b.stop(t)
	a.stop(t)
}

// fixedHostList is a cicadapitch.HostList that always returns the same hosts.
type fixedHostList []cicadapitch.ListedHost

func (l fixedHostList) Hosts(context.Context) ([]cicadapitch.ListedHost, error) { return l, nil }

func TestHostListProvidesSeedsAndLeavingHosts(t *testing.T) {
	a := startProcess(t, "a")
	defer a.stop(t)
	w := peerTransport{peer.NewDialer("bb", []byte("deployment key"))}
	defer func() { _ = w.dialer.Close(context.Background()) }()
	self := cicadapitch.Member{Host: "bb", State: cicadapitch.Ready, PeerAddress: "127.0.0.1:1"}
	hosts := fixedHostList{
		{Host: "a", PeerAddress: a.group.Self().PeerAddress, Leaving: true},
		{Host: "gone", PeerAddress: "127.0.0.1:2"},
	}
	g := host.New(self, host.WithHostList(hosts), host.WithTransport(w))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- g.Run(ctx) }()
	waitForMembers(g, func(members []cicadapitch.Member) bool {
		return lo.ContainsBy(members, func(m cicadapitch.Member) bool {
			return m.Host == "a" && m.State == cicadapitch.Leaving
		})
	})
	require.Len(t, g.Members(), 2, "a listed host that has not answered must not become a member")
	cancel()
	require.NoError(t, <-ended)
}
