package fronthost_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxBrittleCrashes is how often the endpoints of a service may crash in one time in which they
// say that they are brittle: 2, and a tenth of their number.
const maxBrittleCrashes = 2

// TestBrittleEndpointsAreNotPushedOver guards against hosts that each send little while the sum
// is refused by endpoints that crash under refusals. Callers ask for three times
// what the endpoints can run.
func TestBrittleEndpointsAreNotPushedOver(t *testing.T) {
	const hosts = 4
	d := newDeployment(t, hosts)
	brittle := []string{"p1", "p2"}
	for _, id := range brittle {
		d.endpoints[id].SetDelay(100 * time.Millisecond)
		d.endpoints[id].SetRoom(8, 24)
	}
	stop := make(chan struct{})
	defer close(stop)
	var served atomic.Int64
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			go func() {
				if r, err := d.trySend(d.newRequest(n%hosts, "POST", "/book/a", newID())); err == nil {
					r.Body.Close()
					if r.StatusCode == 200 {
						served.Add(1)
					}
				}
			}()
		}
	}()
	time.Sleep(time.Second)
	for _, id := range brittle {
		d.endpoints[id].SetBrittle(3)
	}
	time.Sleep(contactTime)
	for _, id := range brittle {
		d.endpoints[id].SetRoom(8, 2)
	}
	before := served.Load()
	const watched = 6 * time.Second
	time.Sleep(watched)
	crashes := 0
	for _, id := range brittle {
		crashes += len(d.endpoints[id].Crashes())
	}
	require.LessOrEqual(t, crashes, maxBrittleCrashes)
	// Both endpoints together run 160 requests a second.
	require.GreaterOrEqual(t, served.Load()-before, int64(0.5*160*watched.Seconds()))
}
