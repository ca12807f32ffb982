package gateway_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/canary"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/gateway"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// rolloutMembership is the Membership of a host "h" whose fleet has other hosts.
type rolloutMembership struct {
	lockedMembership
	owners []fleet.Host
	dialer *peer.Dialer
	asked  atomic.Int32

	storeMu sync.Mutex
	// stored are the writes, storeErr is the error of further ones.
	stored   []fleet.RolloutProgress
	storeErr error
}

func (m *rolloutMembership) OwnersOf(string) []fleet.Host {
	m.asked.Add(1)
	return m.owners
}
func (m *rolloutMembership) IsSelf(h fleet.Host) bool   { return h.ID == "h" }
func (m *rolloutMembership) Dialer() *peer.Dialer       { return m.dialer }
func (m *rolloutMembership) RunningHosts() []fleet.Host { return m.owners }
func (m *rolloutMembership) StoreRollout(_ context.Context, _ fleet.Rollout, p fleet.RolloutProgress) error {
	m.storeMu.Lock()
	defer m.storeMu.Unlock()
	m.stored = append(m.stored, p)
	return m.storeErr
}

func (m *rolloutMembership) writes() []fleet.RolloutProgress {
	m.storeMu.Lock()
	defer m.storeMu.Unlock()
	return append([]fleet.RolloutProgress(nil), m.stored...)
}

// rolloutView returns a view with an order for the plain service if to is set.
func rolloutView(t *testing.T, to cicadapitch.SoftwareVersion, now cicadapitch.Instant) *fleet.View {
	c, err := platform.DecodeCatalog(platformtest.Config(1, "", 0))
	require.NoError(t, err)
	s := fleet.NewState()
	s.SetCatalog(c)
	s.SetEndpoint(now, catalog.Endpoint{ID: "a", Service: "plain", Version: "v1", Address: "127.0.0.1:1"})
	s.SetEndpoint(now, catalog.Endpoint{ID: "b", Service: "plain", Version: "v2", Address: "127.0.0.1:2"})
	if to != "" {
		o := canary.Order{Service: "plain", To: to, Duration: 60_000, Revision: 7, At: now}
		s.SetRollout("plain", fleet.Rollout{Order: o, OrderRevision: 7})
	}
	return s.View()
}

// startRollouts starts the rollouts of host "h". register registers the handlers of the other host "o", which
// is asked before it.
func startRollouts(t *testing.T, v *fleet.View, register func(*peer.Server)) (*gateway.Gateway, *rolloutMembership) {
	server := peer.NewServer([]byte("key"))
	register(server)
	h := httptest.NewServer(server)
	t.Cleanup(h.Close)
	m := &rolloutMembership{dialer: peer.NewDialer("h", []byte("key"))}
	m.owners = []fleet.Host{{ID: "o", Incarnation: "o", Peers: strings.TrimPrefix(h.URL, "http://")}, {ID: "h", Incarnation: "h"}}
	m.view = v
	g := gateway.New(&platform.Settings{Host: "h", Zone: "z1"}, m)
	g.SetView(v)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.RunRollouts(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return g, m
}

// TestHostOfAnEarlierBuildOwnsNoRollout guards against a rollout that nobody decides, since its first owner
// does not know the call yet.
func TestHostOfAnEarlierBuildOwnsNoRollout(t *testing.T) {
	_, m := startRollouts(t, rolloutView(t, "v2", cicadapitch.NewSystemClock().Now()), func(*peer.Server) {})
	require.Eventually(t, func() bool { return len(m.writes()) > 0 }, 3*time.Second, 20*time.Millisecond)
	p := m.writes()[0]
	require.Equal(t, canary.Canary, p.Phase)
	require.Equal(t, cicadapitch.SoftwareVersion("v2"), p.To)
	require.Equal(t, int64(7), p.Order)
}

// TestAnswersOfTheOwnerAreBounded guards against figures of another host that are out of range.
func TestAnswersOfTheOwnerAreBounded(t *testing.T) {
	var calls atomic.Int32
	_, m := startRollouts(t, rolloutView(t, "v2", cicadapitch.NewSystemClock().Now()), func(s *peer.Server) {
		peer.Handle(s, "rollout", func(_ context.Context, r gateway.RolloutReport) (gateway.RolloutAnswer, error) {
			calls.Add(1)
			require.Equal(t, cicadapitch.HostID("h"), r.Host)
			require.Equal(t, uint64(calls.Load()), r.Report.Sequence)
			return gateway.RolloutAnswer{Known: true, Phase: 77, Share: 1e9}, nil
		})
	})
	require.Eventually(t, func() bool { return calls.Load() >= 3 }, 3*time.Second, 20*time.Millisecond)
	require.Empty(t, m.writes(), "this host is not the owner")
}

// TestReportsOfOtherHostsAreBounded guards against reports of another host that are out of range, of another
// order, or of a service without one.
func TestReportsOfOtherHostsAreBounded(t *testing.T) {
	now := cicadapitch.NewSystemClock().Now()
	m := &rolloutMembership{owners: []fleet.Host{{ID: "h", Incarnation: "h"}}}
	m.view = rolloutView(t, "v2", now)
	g := gateway.New(&platform.Settings{Host: "h", Zone: "z1"}, m)
	g.SetView(m.view)
	s := peer.NewServer([]byte("key"))
	g.RegisterHandlers(s)
	h := httptest.NewServer(s)
	defer h.Close()
	report := func(change func(*gateway.RolloutReport)) (gateway.RolloutAnswer, error) {
		r := gateway.RolloutReport{Host: "x", Service: "plain", Order: 7, To: "v2", Report: canary.Report{Incarnation: "x", Sequence: 1}}
		change(&r)
		return peer.Call[gateway.RolloutReport, gateway.RolloutAnswer](t.Context(), peer.NewDialer("x", []byte("key")), strings.TrimPrefix(h.URL, "http://"), "rollout", r)
	}
	a, err := report(func(*gateway.RolloutReport) {})
	require.NoError(t, err)
	require.True(t, a.Known)
	require.Equal(t, canary.Canary, a.Phase)
	for _, change := range []func(*gateway.RolloutReport){
		func(r *gateway.RolloutReport) { r.Order = 8 },
		func(r *gateway.RolloutReport) { r.To = "v3" },
		func(r *gateway.RolloutReport) { r.Service = "engine" },
	} {
		a, err = report(change)
		require.NoError(t, err)
		require.Equal(t, gateway.RolloutAnswer{}, a)
	}
	for _, change := range []func(*gateway.RolloutReport){
		func(r *gateway.RolloutReport) { r.Longest = -1 },
		func(r *gateway.RolloutReport) { r.Timeout = 1 << 60 },
	} {
		_, err = report(change)
		require.Equal(t, cicadapitch.Invalid, cicadapitch.KindOf(err))
	}
	_, err = report(func(r *gateway.RolloutReport) {
		r.Report.Old, r.Report.New, r.Report.Sequence = -5, 1<<60, 9
		r.Report.Counts.Routes = map[string]canary.RouteCounts{strings.Repeat("x", 9000): {New: canary.VersionCounts{Answers: 1, Failures: 1 << 31}}}
	})
	require.NoError(t, err)
}

// TestNoOrderNoCalls guards against work without an order.
func TestNoOrderNoCalls(t *testing.T) {
	var calls atomic.Int32
	g, m := startRollouts(t, rolloutView(t, "", 0), func(s *peer.Server) {
		peer.Handle(s, "rollout", func(context.Context, gateway.RolloutReport) (gateway.RolloutAnswer, error) {
			calls.Add(1)
			return gateway.RolloutAnswer{}, nil
		})
	})
	time.Sleep(time.Second)
	require.Zero(t, calls.Load()+m.asked.Load())
	now := cicadapitch.NewSystemClock().Now()
	m.mu.Lock()
	g.SetView(rolloutView(t, "v2", now))
	m.mu.Unlock()
	require.Eventually(t, func() bool { return calls.Load() > 0 }, time.Second, 10*time.Millisecond)
	g.SetView(rolloutView(t, "", 0))
	time.Sleep(300 * time.Millisecond)
	before := calls.Load()
	time.Sleep(time.Second)
	require.Equal(t, before, calls.Load(), "the order was withdrawn")
}

// TestWritesOfARolloutBackOff guards against a store that is called again and again while it fails.
func TestWritesOfARolloutBackOff(t *testing.T) {
	g, m := startRollouts(t, rolloutView(t, "", 0), func(*peer.Server) {})
	m.storeMu.Lock()
	m.storeErr = cicadapitch.NewError(cicadapitch.Unavailable, "the store is down", "try again")
	m.storeMu.Unlock()
	g.SetView(rolloutView(t, "v2", cicadapitch.NewSystemClock().Now()))
	time.Sleep(4 * time.Second)
	n := len(m.writes())
	require.GreaterOrEqual(t, n, 2)
	require.LessOrEqual(t, n, 6)
}
