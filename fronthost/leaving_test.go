package fronthost_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// drainTime is how long after its word that it leaves an endpoint may get new requests.
const drainTime = 2 * time.Second

// TestEndpointThatSaysThatItLeavesGetsNoNewCalls guards against hosts that go by the store
// alone, which hears of it late or not at all. Half of the hosts join afterwards.
func TestEndpointThatSaysThatItLeavesGetsNoNewCalls(t *testing.T) {
	d := newDeployment(t, 3)
	d.addEngines(2)
	e := platformtest.NewEndpoint("s2", "stage")
	d.endpoints["s2"] = e
	d.store.Set(platformtest.EndpointKey("s2"), e.Entry("ready"))
	stop := make(chan struct{})
	d.askRepeatedly(30*time.Millisecond, stop, func() string { return prompt(newID()) })
	d.lookRepeatedly(3, 30*time.Millisecond, stop)
	time.Sleep(500 * time.Millisecond)
	d.store.SetDown(true)
	leaving := []string{"e1", "p1"}
	for _, id := range leaving {
		d.endpoints[id].SetLeavingAnswers(true)
	}
	since := time.Now()
	time.Sleep(2 * time.Second)
	d.store.SetDown(false)
	joined := d.joinHosts(1)
	time.Sleep(time.Second)
	for range 20 {
		require.True(t, d.ask(joined, "/plan/a", prompt(newID())))
		time.Sleep(60 * time.Millisecond)
	}
	close(stop)
	for _, id := range leaving {
		for _, at := range d.endpoints[id].Arrivals() {
			require.Less(t, at.Sub(since), drainTime, "a call of %s", id)
		}
	}
}

// TestEndpointIsLeftAloneForAsLongAsItAsks lets a full endpoint ask for a pause. At most two
// further calls of each host may reach it from half a second after its answer until the end
// of the pause.
func TestEndpointIsLeftAloneForAsLongAsItAsks(t *testing.T) {
	const hosts = 2
	d := newDeployment(t, hosts)
	e := platformtest.NewEndpoint("s2", "stage")
	d.endpoints["s2"] = e
	d.store.Set(platformtest.EndpointKey("s2"), e.Entry("ready"))
	time.Sleep(300 * time.Millisecond)
	paused := []string{"p1", "e1", "s1"}
	for _, id := range paused {
		d.endpoints[id].SetFull(true)
		d.endpoints[id].SetRetryAfter("2.5")
	}
	start := time.Now()
	for n := 0; time.Since(start) < 2300*time.Millisecond; n++ {
		go d.ask(n%hosts, "/plan/a", prompt(newID()))
		go func() {
			if r, err := d.trySend(d.newRequest(n%hosts, "GET", "/look/a", newID())); err == nil {
				r.Body.Close()
			}
			if r, err := d.trySend(d.newStreamRequest(n%hosts, "/answer/a", newID(), "1,1")); err == nil {
				r.Body.Close()
			}
		}()
		time.Sleep(25 * time.Millisecond)
	}
	for _, id := range paused {
		late := 0
		for _, at := range d.endpoints[id].Arrivals() {
			if at.Sub(start) > 700*time.Millisecond {
				late++
			}
		}
		require.LessOrEqual(t, late, 2*hosts, id)
	}
}
