package fronthost_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// restartFromCopy ends all hosts while the store comes back from a copy, and starts as many others. It returns the
// number of the first of them.
func (d *deployment) restartFromCopy(restore func()) int {
	hosts := len(d.hostSettings)
	d.store.SetDown(true)
	for i := range hosts {
		d.cancels[i]()
	}
	for i := range hosts {
		<-d.stopped[i]
	}
	restore()
	d.store.SetDown(false)
	return d.joinHosts(hosts)
}

// TestStreamsDoNotGoOnAtTheVersionOfAnOlderCopy guards against streams that go on at another software version, since
// the store came back from a copy older than theirs and no host is left that knows where they began.
func TestStreamsDoNotGoOnAtTheVersionOfAnOlderCopy(t *testing.T) {
	const hosts, streams = 2, 6
	d := newDeployment(t, hosts)
	time.Sleep(3 * time.Second) // the list of versions is complete
	older := d.store.Copy()
	d.addEngine("e3", "v2")
	time.Sleep(time.Second)
	for _, e := range []string{"e1", "e2"} {
		d.store.Set(platformtest.EndpointKey(e), d.endpoints[e].Entry("draining"))
	}
	time.Sleep(300 * time.Millisecond)
	var begun [streams]string
	for n := range begun {
		begun[n] = d.beginStream(n%hosts, fmt.Sprint(n))
		require.Contains(t, d.versionsOf(begun[n]), "v2")
		time.Sleep(coldRatePause)
	}
	var restored time.Time
	first := d.restartFromCopy(func() {
		d.store.Restore(older)
		restored = time.Now()
		// The endpoint writes its entry again, as those do that are alive, within two seconds.
		time.AfterFunc(1100*time.Millisecond, func() {
			d.store.Set(platformtest.EndpointKey("e3"), d.endpoints["e3"].Entry("ready"))
		})
	})
	for time.Since(restored) < 4*time.Second {
		for n, id := range begun {
			next, status := d.takeUp(first+n%hosts, fmt.Sprint(n), id)
			require.Equal(t, http.StatusServiceUnavailable, status, "stream %d", n)
			require.Len(t, d.versionsOf(id, next), 1, "stream %d", n)
		}
	}
}

// TestStreamsOfASoleVersionGoOnAfterAnOlderCopy guards against streams that are rejected for good after the store
// came back from a copy, although their service has had one version only.
func TestStreamsOfASoleVersionGoOnAfterAnOlderCopy(t *testing.T) {
	const hosts = 2
	d := newDeployment(t, hosts)
	time.Sleep(3 * time.Second)
	older := d.store.Copy()
	id := d.beginStream(0, "")
	first := d.restartFromCopy(func() { d.store.Restore(older) })
	require.Eventually(t, func() bool {
		_, status := d.takeUp(first, "", id)
		return status == http.StatusOK
	}, 3*time.Second, 100*time.Millisecond)
}

// TestRecordsOfStreamsAreStoredAgainAfterAnOlderCopy guards against streams that are rejected, since the store came back
// from a copy without their records and then all hosts ended. Some of the records were known to the hosts from the
// store alone.
func TestRecordsOfStreamsAreStoredAgainAfterAnOlderCopy(t *testing.T) {
	for name, drills := range map[string]int{"one": 1, "two": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const hosts, streams = 3, 8
			d := newDeployment(t, hosts, func(d *deployment) {
				d.editConfiguration = func(c []byte) []byte {
					return bytes.ReplaceAll(c, []byte(`"timeout_ms":5000`), []byte(`"timeout_ms":20000`))
				}
			})
			d.setVersion("e2", "v2")
			time.Sleep(time.Second)
			older := d.store.Copy()
			var begun [streams]string
			for n := range begun {
				begun[n] = d.beginStream(n%hosts, fmt.Sprint(n))
				time.Sleep(coldRatePause)
			}
			time.Sleep(500 * time.Millisecond)
			first := 0
			for range drills {
				d.store.SetDown(true)
				time.Sleep(300 * time.Millisecond)
				d.store.Restore(older)
				d.store.SetDown(false)
				d.setVersion("e2", "v2") // as endpoints write again
				time.Sleep(1500 * time.Millisecond)
				for i := first; i < first+hosts; i++ {
					d.cancels[i]()
				}
				for i := first; i < first+hosts; i++ {
					<-d.stopped[i]
				}
				first = d.joinHosts(hosts)
			}
			for n, id := range begun {
				next, status := d.takeUp(first+n%hosts, fmt.Sprint(n), id)
				require.Equal(t, http.StatusOK, status, "stream %d", n)
				require.Len(t, d.versionsOf(id, next), 1, "stream %d", n)
			}
		})
	}
}
