package fronthost_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// badBody is the body of the request that crashes plain endpoints.
const badBody = "the request that crashes"

// addPlainEndpoints starts further endpoints of the plain service and makes all of them crash
// on the bodies of bad requests.
func (d *deployment) addPlainEndpoints(n int) {
	for i := range n {
		id := fmt.Sprintf("q%d", i)
		e := platformtest.NewEndpoint(id, "plain")
		d.endpoints[id] = e
		d.store.Set(platformtest.EndpointKey(id), e.Entry("ready"))
	}
	d.eachPlain(func(e *platformtest.Endpoint) {
		e.SetDelay(30 * time.Millisecond)
		e.CrashOnBodies(700*time.Millisecond, badBody)
	})
	time.Sleep(200 * time.Millisecond)
}

func (d *deployment) eachPlain(f func(*platformtest.Endpoint)) {
	for _, e := range d.endpoints {
		if e.Service == "plain" {
			f(e)
		}
	}
}

// post sends a plain request to a host, with callers' own retry after a refusal, and reports
// whether it was served.
func (d *deployment) post(address, path, body string) bool {
	for range 2 {
		r, err := d.trySend(platformtest.CallerRequest{
			ID: newID(), Method: "POST", Address: address, Path: path, Host: "h.example", Key: "key-1", Deadline: 1500, Body: strings.NewReader(body),
		})
		if err != nil {
			return false
		}
		_, err = io.Copy(io.Discard, r.Body)
		r.Body.Close()
		if r.StatusCode != http.StatusServiceUnavailable {
			return err == nil && r.StatusCode == http.StatusOK
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// postRepeatedly sends the same request to n hosts at once, others in turn, once in each
// interval until stop is closed.
func (d *deployment) postRepeatedly(interval time.Duration, n int, stop <-chan struct{}, path, body string) {
	d.repeat(interval, n, stop, func(address string) { d.post(address, path, body) })
}

// lateRequests returns how many requests with a bad body reached endpoints later than
// contactTime after the third of its crashes. Other bad requests may have caused some.
func (d *deployment) lateRequests(body string) int {
	return d.lateAfter(3, "plain", func(e *platformtest.Endpoint) []time.Time { return e.BodyArrivals(body) })
}

// TestRequestThatCrashesEndpointsIsQuarantined guards against endpoints that crash one after
// the other under repeats of one request, several at once and at any host. Other requests of
// the same caller and path must be served.
func TestRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 8)
	d.addPlainEndpoints(3)
	stop := make(chan struct{})
	defer close(stop)
	d.postRepeatedly(200*time.Millisecond, 2, stop, "/look/a", badBody)
	time.Sleep(8 * time.Second)
	served := 0
	for i := range 40 {
		if d.post(d.hostSettings[i%8].CallerListen, "/look/a", fmt.Sprint("sound", i)) {
			served++
		}
	}
	require.LessOrEqual(t, d.lateRequests(badBody), maxLateArrivals)
	require.Equal(t, 40, served, "sound requests of the same caller and path")
}

// TestRequestsThatMayNotBeRepeatedAreQuarantined is the same for requests of a route that
// hosts must not repeat.
func TestRequestsThatMayNotBeRepeatedAreQuarantined(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 4)
	d.addPlainEndpoints(1)
	stop := make(chan struct{})
	defer close(stop)
	d.postRepeatedly(150*time.Millisecond, 1, stop, "/book/a", badBody)
	time.Sleep(8 * time.Second)
	require.LessOrEqual(t, d.lateRequests(badBody), maxLateArrivals)
	require.True(t, d.post(d.hostSettings[0].CallerListen, "/book/a", "sound"))
}

// TestTwoRequestsThatCrashEndpointsAreBothQuarantined sends two bad requests side by side.
func TestTwoRequestsThatCrashEndpointsAreBothQuarantined(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 4)
	d.addPlainEndpoints(4)
	second := badBody + " too"
	d.eachPlain(func(e *platformtest.Endpoint) { e.CrashOnBodies(700*time.Millisecond, badBody, second) })
	stop := make(chan struct{})
	defer close(stop)
	d.postRepeatedly(150*time.Millisecond, 1, stop, "/look/a", badBody)
	d.postRepeatedly(150*time.Millisecond, 1, stop, "/look/a", second)
	time.Sleep(9 * time.Second)
	require.LessOrEqual(t, d.lateRequests(badBody), maxLateArrivals)
	require.LessOrEqual(t, d.lateRequests(second), maxLateArrivals)
}

// TestRequestQuarantineHoldsAcrossRestartsAndJoins restarts all hosts at once after a request
// was quarantined, and adds one.
func TestRequestQuarantineHoldsAcrossRestartsAndJoins(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	d.addPlainEndpoints(3)
	stop := make(chan struct{})
	defer close(stop)
	d.postRepeatedly(150*time.Millisecond, 1, stop, "/look/a", badBody)
	time.Sleep(5 * time.Second)
	for _, cancel := range d.cancels {
		cancel()
	}
	first := d.joinHosts(4)
	time.Sleep(contactTime + time.Second)
	for i := range 8 {
		d.post(d.hostSettings[first+i%4].CallerListen, "/look/a", badBody)
	}
	require.LessOrEqual(t, d.lateRequests(badBody), maxLateArrivals)
}

// TestRequestQuarantineNeedsNoStore takes the store away before a request begins to crash
// endpoints, and brings it back afterwards.
func TestRequestQuarantineNeedsNoStore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 4)
	d.addPlainEndpoints(3)
	time.Sleep(500 * time.Millisecond)
	d.store.SetDown(true)
	stop := make(chan struct{})
	defer close(stop)
	d.postRepeatedly(150*time.Millisecond, 1, stop, "/look/a", badBody)
	time.Sleep(6 * time.Second)
	d.store.SetDown(false)
	time.Sleep(3 * time.Second)
	joined := d.joinHosts(1)
	time.Sleep(contactTime + time.Second)
	for range 8 {
		d.post(d.hostSettings[joined].CallerListen, "/look/a", badBody)
	}
	require.LessOrEqual(t, d.lateRequests(badBody), maxLateArrivals)
}

// TestRepeatedRequestsWhenAZoneIsLostAreServed crashes most plain endpoints at once, three
// times, while one sound request is repeated. It must be served as before.
func TestRepeatedRequestsWhenAZoneIsLostAreServed(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 4)
	d.addPlainEndpoints(8)
	stop := make(chan struct{})
	defer close(stop)
	d.postRepeatedly(15*time.Millisecond, 1, stop, "/look/a", "hot")
	for range 3 {
		time.Sleep(time.Second)
		d.eachPlain(func(e *platformtest.Endpoint) {
			if e.ID != "p1" && e.ID != "q1" {
				e.Crash(500 * time.Millisecond)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	served := 0
	for i := range 20 {
		if d.post(d.hostSettings[i%4].CallerListen, "/look/a", "hot") {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, 20, served)
}
