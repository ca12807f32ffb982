package membership_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// setEndpoint writes the entry of an endpoint of service s.
func setEndpoint(s *platformtest.Store, id string, n int, state string) {
	s.Set(platformtest.EndpointKey(id), []byte(fmt.Sprintf(endpointEntry, n, state, 1)))
}

// TestEndpointThatWentWhileAllOthersRestartedIsForgotten guards against a host that fetches
// changes from one that began with a listing and does not know what was removed before.
func TestEndpointThatWentWhileAllOthersRestartedIsForgotten(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	setEndpoint(s, "a", 1, "ready")
	setEndpoint(s, "b", 2, "ready")
	gate := platformtest.NewGate(s.Address())
	defer gate.Close()
	survivor := startPeerHost(t, gate.Address())
	settings := newPeerSettings(s.Address())
	_, stop := startHostAt(t, settings, platformtest.NewLink(fastMbps))
	eventually(t, 5000, func() bool { return endpointCount(survivor.Membership) == 2 && len(survivor.Hosts()) == 2 })
	gate.Shut()
	stop()
	setEndpoint(s, "a", 1, "draining")
	s.Remove(platformtest.EndpointKey("a"))
	_, stop = startHostAt(t, settings, platformtest.NewLink(fastMbps))
	defer stop()
	eventually(t, 4500, func() bool { return endpointCount(survivor.Membership) == 1 })
}

// TestRestartOfAHostIsNoOutageOfTheStore guards against a host that has just started and tells
// all others that the store is away: they would keep endpoints that are gone for two seconds.
func TestRestartOfAHostIsNoOutageOfTheStore(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	setEndpoint(s, "a", 1, "ready")
	h := startPeerHost(t, s.Address())
	eventually(t, 3000, func() bool { return endpointCount(h.Membership) == 1 })
	secret, err := h.Secret(t.Context())
	require.NoError(t, err)
	// The new host has the secret and has not read the store yet.
	settings := newPeerSettings(s.Address())
	starting := membership.New(settings)
	server := peer.NewServer(secret)
	d := peer.NewDialer("test", secret)
	starting.EnablePeerCalls(server, membership.Dialers{Requests: d, Control: d, Bulk: d})
	t.Cleanup(servePeers(t, settings.PeerAddress(), server, platformtest.NewLink(fastMbps)))
	hb, err := peer.Call[membership.Heartbeat, membership.Heartbeat](t.Context(), d, settings.PeerAddress(), "beat", membership.Heartbeat{Incarnation: "test"})
	require.NoError(t, err)
	require.False(t, hb.StoreAway)
}

// noticedLog keeps the lines of endpoints that leave which came by a notice.
type noticedLog struct {
	mu    sync.Mutex
	lines int
}

// Write implements io.Writer.
func (l *noticedLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if bytes.Contains(b, []byte(`"Leaving":true`)) && bytes.Contains(b, []byte(`"By":"Notice"`)) {
		l.lines++
	}
	return len(b), nil
}

func (l *noticedLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines
}

// TestLeavingThatOnlyTheMainWatchSeesIsAnnounced lets all hosts of a large fleet that watch the
// store learn of a leaving endpoint by the watch of everything, as when that of the endpoints has
// just failed. The other hosts still get their notices.
func TestLeavingThatOnlyTheMainWatchSeesIsAnnounced(t *testing.T) {
	const hosts, watching = 20, 6
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	setEndpoint(s, "a", 1, "ready")
	logs := make([]*noticedLog, hosts)
	var all []*peerHost
	for i := range hosts {
		logs[i] = &noticedLog{}
		h, stop := startHostAt(t, newPeerSettings(s.Address()), platformtest.NewLink(fastMbps), membership.WithLog(zerolog.New(logs[i])))
		t.Cleanup(stop)
		all = append(all, h)
	}
	for _, h := range all {
		eventually(t, 10_000, func() bool { return len(h.Hosts()) == hosts && endpointCount(h.Membership) == 1 })
	}
	// Watches that wait end within their time; later ones are refused.
	s.RefuseWatches(platform.EndpointKeyPrefix())
	time.Sleep(3500 * time.Millisecond)
	setEndpoint(s, "a", 1, "draining")
	for _, h := range all {
		eventually(t, 2000, func() bool { return endpointCount(h.Membership) == 0 })
	}
	noticed := 0
	for _, l := range logs {
		noticed += min(l.count(), 1)
	}
	require.GreaterOrEqual(t, noticed, (hosts-watching)/2, "hosts that heard by a notice before a heartbeat")
}
