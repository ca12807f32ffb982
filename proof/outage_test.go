package proof_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outageDuration is longer than every lease of a host.
const outageDuration = 12 * time.Second

// TestStoreOutageFailsNoRequest takes the key-value service down under load for
// longer than the leases.
func TestStoreOutageFailsNoRequest(t *testing.T) {
	f := newFleet(t)
	l := startLoad(f, loadWorkers)
	time.Sleep(time.Second)
	f.Store.SetDown(true)
	time.Sleep(outageDuration)
	f.Store.SetDown(false)
	time.Sleep(3 * time.Second)
	results := l.stop()
	requireAllAnswered(t, results)
	requireCompleteAnswers(t, results)
	requireBookingsMatchResults(t, f, results)
	t.Logf("%d requests", len(results))
}

// TestReplacedHostStartsDuringStoreOutage kills and replaces a host while the
// key-value service is down. The new process must get the configuration from its
// peers and serve requests.
func TestReplacedHostStartsDuringStoreOutage(t *testing.T) {
	f := newFleet(t)
	f.Store.SetDown(true)
	f.hosts[0].kill()
	f.replace(0)
	require.NoError(t, f.WaitReady(t.Context()))
	require.Eventually(t, func() bool { return f.listedHosts(1) == len(f.hosts) }, startTimeout, 50*time.Millisecond)
	for n := range 10 {
		s := sendRequest(newCaller(f), answerRequest(string(rune('a'+n))))
		require.NoError(t, s.err)
	}
}
