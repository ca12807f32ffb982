package fronthost_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fronthost"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// ending is how a request at a host that stops has ended.
type ending struct {
	id, path string
	sentAt   time.Time
	endedAt  time.Time
	// status is that of the answer, or 0 without one.
	status int
	// whole is true if the whole answer came.
	whole bool
	err   error
}

// stopTraffic sends requests to the first host while it stops.
type stopTraffic struct {
	d  *deployment
	wg sync.WaitGroup

	mu      sync.Mutex
	endings []ending
}

// send sends a request in the background. A client with keep sends it over a kept connection.
func (s *stopTraffic) send(c *http.Client, req platformtest.CallerRequest) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		e := ending{id: req.ID, path: req.Path, sentAt: time.Now()}
		if r, err := req.HTTPRequest(); err != nil {
			e.err = err
		} else {
			e.status, e.err = do(c, r)
		}
		e.whole, e.endedAt = e.err == nil, time.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endings = append(s.endings, e)
	}()
}

// do sends a request and reads the whole answer.
func do(c *http.Client, r *http.Request) (int, error) {
	resp, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// newClient returns a client that keeps its connections, or opens one for each request. It does
// not send a request twice by itself.
func newClient(t *testing.T, keep bool) *http.Client {
	transport := &http.Transport{DisableKeepAlives: !keep, MaxIdleConnsPerHost: 64}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// stop stops all hosts and returns when the first one's process would have ended.
func (d *deployment) stop() time.Time {
	for _, cancel := range d.cancels {
		cancel()
	}
	<-d.stopped[0]
	return time.Now()
}

// newLateDeployment starts two hosts. When both stop, the first one listens for callers until late in
// the grace.
func newLateDeployment(t *testing.T) *deployment {
	d := newDeployment(t, 2)
	var hosts []cicadapitch.HostID
	for _, s := range d.hostSettings {
		hosts = append(hosts, s.Host)
	}
	if fronthost.ClosesListener(d.hostSettings[0].Bounds.ShutdownGrace, hosts[0], hosts, listenTime, 0) {
		slices.Reverse(d.hostSettings)
		slices.Reverse(d.cancels)
		slices.Reverse(d.stopped)
	}
	return d
}

const (
	// listenTime is how long after the stop the first host listens for callers at least.
	listenTime cicadapitch.Millis = 1750
	// maxCrossing is how long a request may be under way that crosses the close of its connection.
	maxCrossing = 200 * time.Millisecond
)

// requireTrueEndings waits for the requests and checks that each one was answered, or refused and
// not run, before the process ended, unless it found no connection any more. If calls outlast what
// a host can expect, the answer may be that it is unknown whether the request ran, and a stream that has
// begun may break off. It returns the numbers of requests that succeeded and that were refused.
func (s *stopTraffic) requireTrueEndings(t *testing.T, unforeseen bool, stopAt, processEnd time.Time) (served, refused int) {
	s.wg.Wait()
	for _, e := range s.endings {
		note := fmt.Sprintf("%s %s, sent %d ms after the stop, ended after %d ms, status %d, error %v, process end after %d ms",
			e.id, e.path, e.sentAt.Sub(stopAt).Milliseconds(), e.endedAt.Sub(stopAt).Milliseconds(), e.status, e.err, processEnd.Sub(stopAt).Milliseconds())
		runs := s.d.runCount(e.id)
		switch {
		case e.whole && e.status == http.StatusOK:
			served++
			require.GreaterOrEqual(t, runs, 1, note)
		case e.whole && e.status == http.StatusServiceUnavailable:
			refused++
			require.Zero(t, runs, note)
		case unforeseen && e.whole && e.status == http.StatusBadGateway:
			require.NotZero(t, runs, note)
		case unforeseen && e.status == http.StatusOK && strings.Contains("/plan/a /answer/a", e.path):
			require.ErrorIs(t, e.err, io.ErrUnexpectedEOF, note)
		default:
			// No connection, or the request has crossed the close of one that was idle.
			require.Error(t, e.err, note)
			require.Zero(t, e.status, note)
			require.Zero(t, runs, note)
			require.Less(t, e.endedAt.Sub(e.sentAt), maxCrossing, note)
			require.GreaterOrEqual(t, e.sentAt.Sub(stopAt), listenTime.Duration(), note)
			continue
		}
		require.False(t, e.endedAt.After(processEnd), "cut by the end of the process: "+note)
		if strings.HasPrefix(e.path, "/book/") {
			require.LessOrEqual(t, runs, 1, note)
		}
	}
	return served, refused
}

// anyRequest returns the nth request to the first host: a booking, a look-up, or a stream without or
// with stages.
func (d *deployment) anyRequest(n int) platformtest.CallerRequest {
	id := newID()
	var req platformtest.CallerRequest
	switch n % 4 {
	case 0:
		req = d.newRequest(0, "POST", "/book/a", id)
	case 1:
		req = d.newRequest(0, "GET", "/look/a", id)
	case 2:
		req = d.newStreamRequest(0, "/plan/a", id, "")
	default:
		req = d.newStreamRequest(0, "/answer/a", id, "1,1")
	}
	req.Session = id
	return req
}

// slowness is how the endpoints are slow.
type slowness struct {
	// before applies for as long as the host knows them, atStop from the stop on.
	before, atStop func(*platformtest.Endpoint)
	// unforeseen is true if calls outlast what a host can expect.
	unforeseen bool
}

func delayed(m time.Duration) func(*platformtest.Endpoint) {
	return func(e *platformtest.Endpoint) { e.SetDelay(m * time.Millisecond) }
}

// TestRequestsLateInTheGraceGetAWholeAnswerOrARefusal stops a host whose endpoints are slow, or
// fall silent for a second and go on, under requests over new and kept connections. Callers also take
// streams up.
func TestRequestsLateInTheGraceGetAWholeAnswerOrARefusal(t *testing.T) {
	for name, c := range map[string]slowness{
		"50 ms":            {before: delayed(50)},
		"400 ms":           {before: delayed(400)},
		"1.1 s":            {before: delayed(1100)},
		"1.9 s":            {before: delayed(1900)},
		"silent at once":   {atStop: delayed(1200)},
		"silent in a body": {atStop: func(e *platformtest.Endpoint) { e.SetStall(1200 * time.Millisecond) }},
		"slow at once":     {atStop: delayed(1900), unforeseen: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testRequestsLateInTheGrace(t, c)
		})
	}
}

func testRequestsLateInTheGrace(t *testing.T, c slowness) {
	d := newLateDeployment(t)
	d.addEngines(2)
	change := func(f func(*platformtest.Endpoint)) {
		for id, e := range d.endpoints {
			if id != "s1" && f != nil {
				f(e)
			}
		}
	}
	change(c.before)
	begun := newID()
	readBody(t, d.send(d.newStreamRequest(0, "/answer/a", begun, "1,1")))
	next := func(n int) platformtest.CallerRequest {
		req := d.anyRequest(n)
		if n%8 == 7 {
			req.ResumeAfter, req.Resumes = "2", begun
		}
		return req
	}
	traffic := &stopTraffic{d: d}
	clients := []*http.Client{newClient(t, false), newClient(t, true)}
	for n := range 60 {
		traffic.send(clients[n/4%2], next(n))
		time.Sleep(25 * time.Millisecond)
	}
	traffic.wg.Wait()
	traffic.endings = nil
	change(c.atStop)
	stopAt, ended := time.Now(), make(chan time.Time, 1)
	go func() { ended <- d.stop() }()
	var processEnd time.Time
	for n := 0; processEnd.IsZero(); n++ {
		traffic.send(clients[n/4%2], next(n))
		select {
		case processEnd = <-ended:
		case <-time.After(25 * time.Millisecond):
		}
	}
	served, refused := traffic.requireTrueEndings(t, c.unforeseen, stopAt, processEnd)
	t.Logf("%d served, %d refused", served, refused)
	require.Less(t, processEnd.Sub(stopAt), 3*time.Second, "the platform kills the process")
}

// TestWhatRunsAtTheEndOfTheGraceGetsATrueAnswer stops a host whose endpoints do not answer by the
// end of the grace. What they may have run is answered 502 or 504, what still waits 503.
func TestWhatRunsAtTheEndOfTheGraceGetsATrueAnswer(t *testing.T) {
	d := newDeployment(t, 1)
	for id, e := range d.endpoints {
		if id != "s1" {
			e.SetDelay(5 * time.Second)
		}
	}
	d.endpoints["s1"].SetFull(true)
	traffic := &stopTraffic{d: d}
	for n := range 16 {
		req := d.anyRequest(n)
		req.Deadline = 6000
		traffic.send(newClient(t, n%8 < 4), req)
	}
	time.Sleep(300 * time.Millisecond)
	processEnd := d.stop()
	traffic.wg.Wait()
	require.Len(t, traffic.endings, 16)
	for _, e := range traffic.endings {
		require.NoError(t, e.err, e.path)
		require.False(t, e.endedAt.After(processEnd), "%s %s: cut by the end of the process", e.id, e.path)
		if d.runCount(e.id) == 0 {
			require.Equal(t, http.StatusServiceUnavailable, e.status, e.path)
		} else {
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, e.status, e.path)
		}
	}
}

// TestHostEndsAfterTheCallsThatItRelays stops the only host that reaches the endpoints while another
// host's booking runs over it.
func TestHostEndsAfterTheCallsThatItRelays(t *testing.T) {
	d := newCutDeployment(t, 2)
	d.paths[1].Cut(platformtest.CutNew)
	d.askAll(time.Second, 100*time.Millisecond)
	for _, id := range []string{"p1", "p2"} {
		d.endpoints[id].SetDelay(2200 * time.Millisecond)
	}
	traffic := &stopTraffic{d: d.deployment}
	traffic.send(newClient(t, false), d.newRequest(1, "POST", "/book/a", newID()))
	time.Sleep(100 * time.Millisecond)
	d.cancels[0]()
	<-d.stopped[0]
	processEnd := time.Now()
	traffic.wg.Wait()
	require.Equal(t, http.StatusOK, traffic.endings[0].status)
	require.True(t, traffic.endings[0].endedAt.Before(processEnd), "the relay ended first")
}

// TestConnectionWithoutARequestDoesNotDelayTheEnd guards against hosts that wait for callers which have
// connected and send nothing.
func TestConnectionWithoutARequestDoesNotDelayTheEnd(t *testing.T) {
	d := newDeployment(t, 2)
	c, err := net.Dial("tcp", d.hostSettings[0].CallerListen)
	require.NoError(t, err)
	defer c.Close()
	stopAt := time.Now()
	d.cancels[0]()
	<-d.stopped[0]
	require.Less(t, time.Since(stopAt), 2*time.Second)
}

// TestIdleConnectionsOverARelayDoNotDelayItsEnd guards against hosts that wait for connections over them
// which nobody uses.
func TestIdleConnectionsOverARelayDoNotDelayItsEnd(t *testing.T) {
	d := newCutDeployment(t, 2)
	d.paths[1].Cut(platformtest.CutNew)
	d.askAll(time.Second, 100*time.Millisecond)
	stopAt := time.Now()
	d.cancels[0]()
	<-d.stopped[0]
	require.Less(t, time.Since(stopAt), 2*time.Second)
}

// TestRepeatIsNotSentOnceItsAnswerCannotBeWhole lets first attempts fail while their host stops.
func TestRepeatIsNotSentOnceItsAnswerCannotBeWhole(t *testing.T) {
	d := newDeployment(t, 1)
	d.setConfiguration(platformtest.SlowRoute)
	client := newClient(t, false)
	sum := func() platformtest.CallerRequest { return d.newRequest(0, "GET", "/sum/a", newID()) }
	require.Eventually(t, func() bool { return d.sendPlain(0, "GET", "/sum/a", newID()).StatusCode == http.StatusOK }, 2*time.Second, 20*time.Millisecond)
	traffic := &stopTraffic{d: d}
	for range 30 {
		traffic.send(client, sum())
	}
	traffic.wg.Wait()
	for _, id := range []string{"p1", "p2"} {
		d.endpoints[id].SetDelay(1300 * time.Millisecond)
		d.endpoints[id].SetFailAfterRun(true)
	}
	traffic = &stopTraffic{d: d}
	time.AfterFunc(100*time.Millisecond, d.cancels[0])
	for range 20 {
		traffic.send(client, sum())
		time.Sleep(15 * time.Millisecond)
	}
	<-d.stopped[0]
	processEnd := time.Now()
	traffic.wg.Wait()
	for _, e := range traffic.endings {
		require.NoError(t, e.err)
		require.False(t, e.endedAt.After(processEnd), "cut by the end of the process, status %d", e.status)
		require.Equal(t, d.runCount(e.id) == 0, e.status == http.StatusServiceUnavailable, "status %d", e.status)
		require.LessOrEqual(t, d.runCount(e.id), 1, "the repeat would have outlasted the process")
	}
}

// TestStoppingHostAllowsForCallsThatStillRun guards against bookings that are cut since only short calls
// have ended yet, as on a host that has just started or whose endpoints have become slow.
func TestStoppingHostAllowsForCallsThatStillRun(t *testing.T) {
	d := newDeployment(t, 1)
	client := newClient(t, false)
	book := func(traffic *stopTraffic, n int, pause time.Duration) {
		for range n {
			req := d.newRequest(0, "POST", "/book/a", newID())
			req.Deadline = 3900
			traffic.send(client, req)
			time.Sleep(pause)
		}
	}
	short := &stopTraffic{d: d}
	book(short, 40, 10*time.Millisecond)
	short.wg.Wait()
	for _, id := range []string{"p1", "p2"} {
		d.endpoints[id].SetDelay(3600 * time.Millisecond)
	}
	traffic := &stopTraffic{d: d}
	book(traffic, 4, 10*time.Millisecond)
	time.Sleep(2 * time.Second)
	stopAt, ended := time.Now(), make(chan time.Time, 1)
	go func() { ended <- d.stop() }()
	book(traffic, 20, 25*time.Millisecond)
	served, refused := traffic.requireTrueEndings(t, false, stopAt, <-ended)
	require.Equal(t, 4, served)
	require.Equal(t, 20, refused)
}
