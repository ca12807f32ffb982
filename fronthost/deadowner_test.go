package fronthost_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/fleet"
)

// registerEndedHosts adds n hosts to the store whose addresses refuse connections, as if
// their processes had just been killed. All of them precede the running hosts as owners of the shard.
func (d *deployment) registerEndedHosts(n int, shard string) {
	var running []string
	for _, key := range d.store.Keys("hosts/") {
		running = append(running, strings.TrimPrefix(key, "hosts/"))
	}
	id := func(incarnation string) string { return incarnation }
	for added, i := 0, 0; added < n; i++ {
		incarnation := fmt.Sprintf("ended-%d", i)
		if fleet.Rank(shard, append([]string{incarnation}, running...), id)[0] != incarnation {
			continue
		}
		added++
		address := strings.TrimSuffix(d.hostSettings[0].IP, ".1") + fmt.Sprintf(".%d", 100+added)
		d.store.Set("hosts/"+incarnation, map[string]string{
			"Host": incarnation, "Incarnation": incarnation, "Zone": "z1", "Callers": address + ":8001", "Peers": address + ":7740",
		})
	}
}

// TestHostsAgreeOnAnOwnerAfterOthersWereKilled guards against hosts that each run the stages of
// their requests themselves, since the first owners of the shard refuse connections: endpoints get
// calls that wait for each other.
func TestHostsAgreeOnAnOwnerAfterOthersWereKilled(t *testing.T) {
	const hosts = 3
	d := newDeployment(t, hosts)
	d.endpoints["s1"].SetDelay(150 * time.Millisecond)
	d.registerEndedHosts(4, "stage")
	time.Sleep(100 * time.Millisecond)
	var wg sync.WaitGroup
	statuses := make([]int, hosts)
	for i := range hosts {
		wg.Go(func() {
			r, err := d.trySend(d.newStreamRequest(i, "/answer/a", newID(), "2,1"))
			if err == nil {
				statuses[i] = r.StatusCode
				r.Body.Close()
			}
		})
	}
	wg.Wait()
	for _, status := range statuses {
		require.Equal(t, http.StatusOK, status)
	}
	require.Equal(t, 1, d.endpoints["s1"].MostStageCalls(), "stage calls at the same time")
}
