package proof_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outageSpan is longer than every lease of a host.
const outageSpan = 12 * time.Second

// TestStoreOutageStopsNothingThatRuns takes the key-value service down under
// load for longer than the leases.
func TestStoreOutageStopsNothingThatRuns(t *testing.T) {
	f := newFleet(t)
	l := startLoad(f, loadWorkers)
	time.Sleep(time.Second)
	f.Store.SetDown(true)
	time.Sleep(outageSpan)
	f.Store.SetDown(false)
	time.Sleep(3 * time.Second)
	all := l.stop()
	requireAllAnswered(t, all)
	requireWhole(t, all)
	requireAtMostOnce(t, f, all)
	t.Logf("%d requests", len(all))
}

// TestReplacedHostStartsInAnOutage replaces a host while the key-value service
// is down. The new one gets the configuration from its peers and serves.
func TestReplacedHostStartsInAnOutage(t *testing.T) {
	f := newFleet(t)
	f.Store.SetDown(true)
	f.hosts[0].kill()
	f.replace(0)
	require.NoError(t, f.WaitReady(t.Context()))
	require.Eventually(t, func() bool { return f.listed(1) == len(f.hosts) }, startTimeout, 50*time.Millisecond)
	for n := range 10 {
		s := send(newCaller(f), answerRequest(string(rune('a'+n))))
		require.NoError(t, s.err)
	}
}
