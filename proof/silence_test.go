package proof_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/settings"
)

// TestSilentConnectionsLoseNoRequest silences all connections between the hosts
// several times under load, while new connections work. No idempotent request may
// fail; bookings may.
func TestSilentConnectionsLoseNoRequest(t *testing.T) {
	var relays []*relay
	f := newFleet(t, func(hosts []*settings.Settings) { relays = relayPeers(t, hosts) })
	l := startLoad(f, loadWorkers)
	silenced := 0
	for range 3 {
		time.Sleep(2 * time.Second)
		for _, r := range relays {
			silenced += r.silence()
		}
	}
	time.Sleep(2 * time.Second)
	results := l.stop()
	require.NotZero(t, silenced)
	requireCompleteAnswers(t, results)
	requireBookingsMatchResults(t, f, results)
	requireOnlyBookingsFailed(t, results)
	t.Logf("%d requests, %d failed, %d connections silenced", len(results), len(failedRequests(results)), silenced)
}

// relayPeers places a relay in front of the peer listener of each host and returns
// the relays.
func relayPeers(t *testing.T, hosts []*settings.Settings) []*relay {
	var relays []*relay
	for _, s := range hosts {
		r := newRelay(t, s.PeerListen)
		s.PeerAddress = r.address()
		relays = append(relays, r)
	}
	var seeds []string
	for _, r := range relays {
		seeds = append(seeds, r.address())
	}
	for _, s := range hosts {
		s.SeedPeers = seeds
	}
	return relays
}
