package fronthost_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/fronthost"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// The bound on calls of an endpoint that has named a rate limit: in any limitWindow from
// contactTime after it first did so, limitFactor times what it allows and limitExtra more.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// limitAll makes endpoints name a rate limit and returns when they began to.
func (d *deployment) limitAll(perSecond float64, ids ...string) time.Time {
	for _, id := range ids {
		d.endpoints[id].SetRateLimit(perSecond)
	}
	return time.Now()
}

// requireWithinLimit checks the bound on an endpoint that has named a limit since then.
func (d *deployment) requireWithinLimit(id string, perSecond float64, since time.Time) {
	var counted []time.Time
	for _, at := range d.endpoints[id].Arrivals() {
		if at.After(since.Add(contactTime)) {
			counted = append(counted, at)
		}
	}
	allowed := int(limitFactor*limitWindow.Seconds()*perSecond) + limitExtra
	for i, first := range counted {
		n := 0
		for _, at := range counted[i:] {
			if at.Sub(first) < limitWindow {
				n++
			}
		}
		require.LessOrEqual(d.t, n, allowed, "endpoint %s with a limit of %v a second", id, perSecond)
	}
}

// lookRepeatedly sends requests for the plain service to the given number of hosts in
// turn, once in each interval, until stop is closed.
func (d *deployment) lookRepeatedly(hosts int, interval time.Duration, stop <-chan struct{}) {
	var requests []platformtest.CallerRequest
	for i := range hosts {
		req := d.newRequest(i, "GET", "/look/a", "")
		req.Body = nil
		requests = append(requests, req)
	}
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			req := requests[n%hosts]
			req.ID = newID()
			go func() {
				if r, err := d.trySend(req); err == nil {
					r.Body.Close()
				}
			}()
		}
	}()
}

// TestRateLimitOfAnEndpointHoldsOverAllHosts guards against hosts that each keep an
// endpoint's limit, or none of them, while their sum is above it. Other endpoints take the
// requests.
func TestRateLimitOfAnEndpointHoldsOverAllHosts(t *testing.T) {
	d := newDeployment(t, 8)
	d.addEngines(6)
	stop := make(chan struct{})
	d.askRepeatedly(20*time.Millisecond, stop, func() string { return prompt(newID()) })
	d.lookRepeatedly(8, 20*time.Millisecond, stop)
	time.Sleep(500 * time.Millisecond)
	since := d.limitAll(1, "e1", "x1", "p1")
	since3 := d.limitAll(3, "x2")
	time.Sleep(9 * time.Second)
	close(stop)
	for _, id := range []string{"e1", "x1", "p1"} {
		d.requireWithinLimit(id, 1, since)
	}
	d.requireWithinLimit("x2", 3, since3)
	served := 0
	for i := range 24 {
		if d.ask(i%8, "/plan/a", prompt(newID())) {
			served++
		}
	}
	require.Equal(t, 24, served)
}

// TestRateLimitHoldsWhileHostsComeAndGoWithoutTheStore lets hosts join and stop while the
// store is away for a part of the time.
func TestRateLimitHoldsWhileHostsComeAndGoWithoutTheStore(t *testing.T) {
	d := newDeployment(t, 4)
	d.addEngines(4)
	stop := make(chan struct{})
	d.askRepeatedly(20*time.Millisecond, stop, func() string { return prompt(newID()) })
	time.Sleep(300 * time.Millisecond)
	since := d.limitAll(1, "e1")
	time.Sleep(1500 * time.Millisecond)
	d.joinHosts(3)
	time.Sleep(time.Second)
	d.store.SetDown(true)
	d.cancels[0]()
	time.Sleep(2 * time.Second)
	d.cancels[1]()
	time.Sleep(2 * time.Second)
	d.store.SetDown(false)
	joined := d.joinHosts(1)
	for range 20 {
		d.ask(joined, "/plan/a", prompt(newID()))
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	d.requireWithinLimit("e1", 1, since)
}

// TestRateLimitHoldsOverHostsThatHearNothingOfEachOther guards against hosts that each take themselves for
// the only one, since no other answers, and use an endpoint's limit up each by itself.
func TestRateLimitHoldsOverHostsThatHearNothingOfEachOther(t *testing.T) {
	const hosts = 8
	d := newPathDeployment(t, hosts, fronthost.WithSystemDial)
	d.addEngines(6)
	stop := make(chan struct{})
	d.askRepeatedly(20*time.Millisecond, stop, func() string { return prompt(newID()) })
	d.lookRepeatedly(hosts, 20*time.Millisecond, stop)
	time.Sleep(500 * time.Millisecond)
	since := d.limitAll(1, "e1", "p1")
	time.Sleep(2 * time.Second)
	for _, p := range d.paths {
		p.Cut(platformtest.CutReset, d.store.Address())
	}
	time.Sleep(9 * time.Second)
	close(stop)
	for _, id := range []string{"e1", "p1"} {
		d.requireWithinLimit(id, 1, since)
	}
}

// TestRateLimitOfAStageEndpointIsKept counts all calls of a stage endpoint, those that free
// results too.
func TestRateLimitOfAStageEndpointIsKept(t *testing.T) {
	d := newDeployment(t, 3)
	d.addEngines(4)
	for _, id := range []string{"s2", "s3"} {
		e := platformtest.NewEndpoint(id, "stage")
		d.endpoints[id] = e
		d.store.Set(platformtest.EndpointKey(id), e.Entry("ready"))
	}
	time.Sleep(300 * time.Millisecond)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(30 * time.Millisecond):
			}
			req := d.newStreamRequest(n%3, "/answer/a", newID(), "1,1")
			req.Session = fmt.Sprint("s", n)
			go func() {
				if r, err := d.trySend(req); err == nil {
					r.Body.Close()
				}
			}()
		}
	}()
	time.Sleep(300 * time.Millisecond)
	since := d.limitAll(1, "s1")
	time.Sleep(8 * time.Second)
	d.requireWithinLimit("s1", 1, since)
}

// TestEndpointThatNamesNoLimitAnyMoreIsUsedAgain guards against a limit that outlives its
// endpoint's need.
func TestEndpointThatNamesNoLimitAnyMoreIsUsedAgain(t *testing.T) {
	d := newDeployment(t, 4)
	stop := make(chan struct{})
	d.askRepeatedly(25*time.Millisecond, stop, func() string { return prompt(newID()) })
	defer close(stop)
	d.limitAll(1, "e1")
	time.Sleep(3 * time.Second)
	d.limitAll(-1, "e1")
	time.Sleep(3 * time.Second)
	before := len(d.endpoints["e1"].Arrivals())
	time.Sleep(2 * time.Second)
	require.Greater(t, len(d.endpoints["e1"].Arrivals())-before, 10)
}
