package fronthost_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// The bounds of a bad version in the tests.
const (
	rolloutShare = 0.1
	rolloutSlack = 50
	rollbackTime = 5 * time.Second
	// rolloutSeconds is the shortest duration of an order.
	rolloutSeconds = 12
	// endpointDelay is how long a sound endpoint takes for an answer.
	endpointDelay = 20 * time.Millisecond
)

// withRolloutBounds gives the hosts the bounds of a bad version.
func withRolloutBounds(d *deployment) {
	d.changeSettings = func(s *platform.Settings) {
		s.Bounds.RolloutShare, s.Bounds.RolloutSlack, s.Bounds.RollbackDelay = rolloutShare, rolloutSlack, 5000
	}
}

// addEndpoints starts n endpoints of a service and a software version.
func (d *deployment) addEndpoints(n int, service, version string) []*platformtest.Endpoint {
	var list []*platformtest.Endpoint
	for i := range n {
		id := fmt.Sprintf("%s-%s-%d", service, version, i)
		e := platformtest.NewEndpoint(id, service)
		e.SetVersion(version)
		e.SetDelay(endpointDelay)
		d.endpoints[id] = e
		d.store.Set(platformtest.EndpointKey(id), e.Entry("ready"))
		list = append(list, e)
	}
	return list
}

// ofVersion returns the endpoints of a service with a version, or those with others.
func (d *deployment) ofVersion(service, version string, same bool) []*platformtest.Endpoint {
	return lo.Filter(lo.Values(d.endpoints), func(e *platformtest.Endpoint, _ int) bool {
		return e.Service == service && (e.Entry("ready")["version"] == version) == same
	})
}

// load is the requests of callers for as long as a test runs.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	// statuses counts the answers by status, broken ones as 0.
	statuses map[int]int
}

// startLoad sends requests to the hosts in turn, one each interval. request returns the n-th one.
func (d *deployment) startLoad(interval time.Duration, request func(n int) platformtest.CallerRequest) *load {
	l := &load{stop: make(chan struct{}), statuses: map[int]int{}}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	l.wg.Go(func() {
		defer client.CloseIdleConnections()
		t := time.NewTicker(interval)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-t.C:
			}
			req := request(n)
			l.wg.Go(func() { l.count(ask(client, req)) })
		}
	})
	d.t.Cleanup(l.end)
	return l
}

// ask sends a request and returns the status of a whole answer, or 0.
func ask(client *http.Client, req platformtest.CallerRequest) int {
	r, err := req.HTTPRequest()
	if err != nil {
		return 0
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (l *load) count(status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[status]++
}

// end stops the requests and waits for their answers.
func (l *load) end() {
	l.mu.Lock()
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.mu.Unlock()
	l.wg.Wait()
}

// plainLoad sends requests for the plain service on both routes.
func (d *deployment) plainLoad(interval time.Duration) *load {
	for _, id := range []string{"p1", "p2"} {
		d.endpoints[id].SetDelay(endpointDelay)
	}
	return d.startLoad(interval, func(n int) platformtest.CallerRequest {
		method, path := "GET", "/look/a"
		if n%3 == 0 {
			method, path = "POST", "/book/a"
		}
		return d.newRequest(n/3%len(d.hostSettings), method, path, newID())
	})
}

// arrivals returns how many requests reached the endpoints of a service between two instants, and how many
// of those a version.
func (d *deployment) arrivals(service, version string, from, to time.Time) (all, ofVersion int) {
	for _, e := range d.endpoints {
		if e.Service != service {
			continue
		}
		n := lo.CountBy(e.Requests(), func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
		all += n
		if e.Entry("ready")["version"] == version {
			ofVersion += n
		}
	}
	return all, ofVersion
}

// awaitStatus waits until the status of a rollout has a state, up to a time. It calls atOnce in the moment in
// which it sees that, and returns how long it took.
func (d *deployment) awaitStatus(service, state string, within time.Duration, atOnce func()) time.Duration {
	start := time.Now()
	for time.Since(start) < within {
		if s, _ := d.store.RolloutStatus(service); s == state {
			if atOnce != nil {
				atOnce()
			}
			return time.Since(start)
		}
		time.Sleep(2 * time.Millisecond)
	}
	s, to := d.store.RolloutStatus(service)
	require.Fail(d.t, "no status "+state, "%s after %s, but %q to %q", service, within, s, to)
	return 0
}

// requireExposure checks that a version has got no more than its share of the requests since the order.
func (d *deployment) requireExposure(service, version string, since time.Time) {
	all, bad := d.arrivals(service, version, since, time.Now())
	d.t.Logf("%d of %d requests reached %s", bad, all, version)
	require.LessOrEqual(d.t, float64(bad), rolloutShare*float64(all)+rolloutSlack)
}

// TestGoodVersionIsCompleted guards against a rollout that misses its deadline, against requests at the old
// version when it is reported as completed, and against requests that callers lose meanwhile.
func TestGoodVersionIsCompleted(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3, withRolloutBounds)
	d.addEndpoints(3, "plain", "v1")
	d.addEndpoints(5, "plain", "v2")
	l := d.plainLoad(8 * time.Millisecond)
	time.Sleep(time.Second)
	ordered := time.Now()
	d.store.OrderRollout("plain", "v2", rolloutSeconds)
	d.awaitStatus("plain", "running", 2*time.Second, nil)
	time.Sleep(3 * time.Second)
	d.requireExposure("plain", "v2", ordered.Add(500*time.Millisecond))
	old := d.ofVersion("plain", "v2", false)
	running, seenAt := 0, time.Time{}
	d.awaitStatus("plain", "completed", rolloutSeconds*time.Second, func() {
		seenAt = time.Now()
		running = lo.SumBy(old, (*platformtest.Endpoint).Running)
	})
	t.Logf("completed after %s", time.Since(ordered))
	require.Zero(t, running, "requests at the old version")
	require.Less(t, time.Since(ordered), rolloutSeconds*time.Second)
	time.Sleep(time.Second)
	l.end()
	for _, e := range old {
		for _, at := range e.Requests() {
			require.True(t, at.Before(seenAt), "%s after the status", at.Sub(seenAt))
		}
	}
	t.Log(l.statuses)
	require.Equal(t, []int{http.StatusOK}, lo.Keys(l.statuses))
	_, to := d.store.RolloutStatus("plain")
	require.Equal(t, "v2", to)
}

// TestStreamStaysAtItsVersionDuringARollout breaks streams off, so that they go on at another endpoint or are
// taken up by their callers, while a rollout moves from one version to the other.
func TestStreamStaysAtItsVersionDuringARollout(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2, withRolloutBounds)
	d.addEndpoints(3, "engine", "v2")
	d.abortStreams(2)
	time.Sleep(time.Second)
	d.store.OrderRollout("engine", "v2", rolloutSeconds)
	var (
		mu  sync.Mutex
		ids [][]string
	)
	done := time.Now().Add((rolloutSeconds + 1) * time.Second)
	var wg sync.WaitGroup
	for i := range d.hostSettings {
		wg.Go(func() {
			for n := 0; time.Now().Before(done); n++ {
				session, id := fmt.Sprint(i, "-", n), newID()
				req := d.newStreamRequest(i, "/answer/a", id, "0,0")
				req.Session = session
				r, err := d.trySend(req)
				if err != nil {
					continue
				}
				b, _ := io.ReadAll(r.Body) // breaks off
				r.Body.Close()
				stream := []string{id}
				if strings.Contains(string(b), "data: part 2") {
					next, _ := d.takeUpBroken((i+1)%len(d.hostSettings), session, id)
					stream = append(stream, next)
				}
				mu.Lock()
				ids = append(ids, stream)
				mu.Unlock()
				time.Sleep(coldRatePause)
			}
		})
	}
	wg.Wait()
	versions := map[string]int{}
	for _, stream := range ids {
		got := d.versionsOf(stream...)
		require.LessOrEqual(t, len(got), 1, "%v", got)
		for v := range got {
			versions[v]++
		}
	}
	t.Log(versions)
	require.Positive(t, versions["v1"])
	require.Positive(t, versions["v2"])
}

// takeUpBroken asks host i to go on with a stream after its second event, whose answer may break off too.
func (d *deployment) takeUpBroken(i int, session, resumes string) (string, int) {
	req := d.newStreamRequest(i, "/answer/a", newID(), "0,0")
	req.Session, req.ResumeAfter, req.Resumes = session, "2", resumes
	r, err := d.trySend(req)
	if err != nil {
		return req.ID, 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body) // breaks off
	return req.ID, r.StatusCode
}

// TestRolloutGoesOnWithoutItsFirstOwner guards against a rollout that ends with the host that decides it:
// the first owner refuses connections, and the next one stops later.
func TestRolloutGoesOnWithoutItsFirstOwner(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3, withRolloutBounds)
	d.addEndpoints(3, "plain", "v2")
	d.registerEndedHosts(1, "rollout/plain")
	time.Sleep(200 * time.Millisecond)
	l := d.plainLoad(15 * time.Millisecond)
	ordered := time.Now()
	d.store.OrderRollout("plain", "v2", rolloutSeconds)
	d.awaitStatus("plain", "running", 4*time.Second, nil)
	time.Sleep(2 * time.Second)
	l.end()
	d.cancels[0]()
	<-d.stopped[0]
	l = d.startLoad(15*time.Millisecond, func(n int) platformtest.CallerRequest {
		return d.newRequest(1+n%2, "GET", "/look/a", newID())
	})
	d.awaitStatus("plain", "completed", rolloutSeconds*time.Second, nil)
	t.Logf("completed after %s", time.Since(ordered))
	l.end()
	require.Equal(t, []int{http.StatusOK}, lo.Keys(l.statuses))
}

// TestRolloutOutlastsAnOutageOfTheStore guards against a rollout that stays where it was when the store went
// away.
func TestRolloutOutlastsAnOutageOfTheStore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2, withRolloutBounds)
	d.addEndpoints(2, "plain", "v2")
	time.Sleep(200 * time.Millisecond)
	l := d.plainLoad(15 * time.Millisecond)
	ordered := time.Now()
	d.store.OrderRollout("plain", "v2", rolloutSeconds)
	d.awaitStatus("plain", "running", 2*time.Second, nil)
	time.Sleep(time.Second)
	d.store.SetDown(true)
	time.Sleep(4 * time.Second)
	d.store.SetDown(false)
	d.awaitStatus("plain", "completed", rolloutSeconds*time.Second, nil)
	t.Logf("completed after %s", time.Since(ordered))
	l.end()
	require.Equal(t, []int{http.StatusOK}, lo.Keys(l.statuses))
}

// TestWithdrawnAndInvalidOrdersChangeNothing guards against an order that has effects although it is not
// one, and against one that goes on after it was withdrawn.
func TestWithdrawnAndInvalidOrdersChangeNothing(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2, withRolloutBounds)
	d.addEndpoints(2, "plain", "v2")
	time.Sleep(200 * time.Millisecond)
	l := d.plainLoad(10 * time.Millisecond)
	for service, value := range map[string]string{
		"engine": `{"service":"plain","to":"v2","duration_s":12}`, "stage": `{"service":"stage","to":"v2","duration_s":0}`,
		"plain": "\x00\xff", "none": `{"service":"none","to":"v2","duration_s":12}`,
	} {
		d.store.Set(platformtest.RolloutKey(service), []byte(value))
	}
	since := time.Now()
	time.Sleep(1500 * time.Millisecond)
	for _, service := range []string{"engine", "stage", "plain", "none"} {
		state, _ := d.store.RolloutStatus(service)
		require.Empty(t, state, service)
	}
	all, isNew := d.arrivals("plain", "v2", since, time.Now())
	require.Greater(t, isNew, all/4, "both versions serve as before")
	d.store.OrderRollout("plain", "v2", 60)
	d.awaitStatus("plain", "running", 2*time.Second, nil)
	time.Sleep(500 * time.Millisecond)
	since = time.Now()
	time.Sleep(3 * time.Second) // one period of the share
	all, isNew = d.arrivals("plain", "v2", since, time.Now())
	require.LessOrEqual(t, float64(isNew), rolloutShare*float64(all)+2)
	d.store.Remove(platformtest.RolloutKey("plain"))
	time.Sleep(300 * time.Millisecond)
	calls := d.store.Calls()
	since = time.Now()
	time.Sleep(1500 * time.Millisecond)
	all, isNew = d.arrivals("plain", "v2", since, time.Now())
	require.Greater(t, isNew, all/4, "both versions serve again")
	require.Equal(t, calls.Commit, d.store.Calls().Commit, "nothing is written without an order")
	l.end()
	require.Equal(t, []int{http.StatusOK}, lo.Keys(l.statuses))
}

// badVersions are versions that have to be rolled back, by what is bad about them.
var badVersions = map[string]platformtest.BadVersion{
	"fails":            {FailureRate: 0.25},
	"slow":             {Extra: 3 * endpointDelay},
	"fails later":      {FailureRate: 0.5, After: 30},
	"fails on a path":  {FailureRate: 0.6, Path: "/book/"},
	"fails under load": {FailureRate: 0.8, AboveRunning: 1},
	"hangs":            {Extra: 3 * time.Second, Path: "/book/"},
}

// TestBadVersionIsRolledBack guards against a bad version that callers get for longer than the bounds allow,
// or that is completed.
func TestBadVersionIsRolledBack(t *testing.T) {
	for name, bad := range badVersions {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3, withRolloutBounds)
			d.addEndpoints(3, "plain", "v1")
			isNew := d.addEndpoints(5, "plain", "v2")
			for _, e := range isNew {
				e.SetBad(bad)
			}
			time.Sleep(500 * time.Millisecond)
			l := d.plainLoad(8 * time.Millisecond)
			if bad.AboveRunning > 0 {
				// An endpoint has two requests at a time in the mean.
				for _, e := range d.ofVersion("plain", "v9", false) {
					e.SetDelay(80 * time.Millisecond)
				}
			}
			ordered := time.Now()
			d.store.OrderRollout("plain", "v2", rolloutSeconds)
			time.Sleep(300 * time.Millisecond) // the hosts know the order
			known := time.Now()
			defer func() {
				d.t.Log(lo.SumBy(isNew, func(e *platformtest.Endpoint) int { return len(e.BadAnswers()) }), "bad answers")
			}()
			took := d.awaitStatus("plain", "rolled_back", (rolloutSeconds+3)*time.Second, nil)
			seen := time.Now()
			time.Sleep(1500 * time.Millisecond)
			l.end()
			t.Logf("rolled back after %s, %v", took, l.statuses)
			require.Less(t, seen.Sub(ordered), rolloutSeconds*time.Second)
			d.requireExposure("plain", "v2", known)
			_, late := d.arrivals("plain", "v2", seen.Add(500*time.Millisecond), time.Now())
			require.Zero(t, late, "requests after the rollback")
			d.requireNoLateRequests(isNew)
		})
	}
}

// requireNoLateRequests checks that endpoints of a bad version got no request later than rollbackTime after
// their 50th bad answer.
func (d *deployment) requireNoLateRequests(endpoints []*platformtest.Endpoint) {
	var badAt, arrivals []time.Time
	for _, e := range endpoints {
		badAt, arrivals = append(badAt, e.BadAnswers()...), append(arrivals, e.Requests()...)
	}
	d.t.Logf("%d bad answers", len(badAt))
	if len(badAt) < 50 {
		return
	}
	slices.SortFunc(badAt, time.Time.Compare)
	for _, at := range arrivals {
		require.False(d.t, at.After(badAt[49].Add(rollbackTime)))
	}
}
