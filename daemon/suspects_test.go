package daemon_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/daemon"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/quarantine"
)

// TestSuspectedPrefixesReachAllHosts has each of three hosts see one crash under a prefix.
// All of them, and one that joins later, must quarantine it.
func TestSuspectedPrefixesReachAllHosts(t *testing.T) {
	clock := cicadapitch.NewSystemClock()
	key := []byte("key")
	var (
		members []cicadapitch.Member
		ledgers []*quarantine.Ledger
		sharers []daemon.SuspectSharer
	)
	for i := range 4 {
		server := peer.NewServer(key)
		mux := http.NewServeMux()
		mux.Handle(peer.Path, server)
		srv := httptest.NewServer(mux)
		t.Cleanup(srv.Close)
		id := cicadapitch.HostID(fmt.Sprint("h", i))
		members = append(members, cicadapitch.Member{Host: id, State: cicadapitch.Ready, PeerAddress: strings.TrimPrefix(srv.URL, "http://")})
		l := quarantine.NewLedger()
		ledgers = append(ledgers, l)
		others := func() []cicadapitch.Member {
			var out []cicadapitch.Member
			for _, m := range members[:len(sharers)] {
				if m.Host != id {
					out = append(out, m)
				}
			}
			return out
		}
		if i < 3 {
			sharers = append(sharers, daemon.NewSuspectSharer(l, others, peer.NewDialer(id, key), server, clock))
		} else {
			daemon.NewSuspectSharer(l, others, peer.NewDialer(id, key), server, clock)
		}
	}
	state := func(l *quarantine.Ledger) quarantine.State {
		_, s := l.Check(clock.Now(), []string{"bad"})
		return s
	}
	for i, s := range sharers {
		now := clock.Now()
		ledgers[i].RecordCrash(now, []string{"bad"}, quarantine.Crash{Endpoint: "e", SentAt: now.Add(-20), EndedAt: now})
		ledgers[i].Judge(now, []string{"bad"})
		s.Tell(ledgers[i].Reports(now, "bad"))
		time.Sleep(400 * time.Millisecond)
	}
	for i := range 3 {
		require.Equal(t, quarantine.Quarantined, state(ledgers[i]), "host %d", i)
	}
	sharers = append(sharers, sharers[0])
	go sharers[1].Run(t.Context())
	require.Eventually(t, func() bool { return state(ledgers[3]) == quarantine.Quarantined }, 3*time.Second, 50*time.Millisecond, "the host that joined")
}
