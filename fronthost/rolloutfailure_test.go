package fronthost_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/fronthost"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// ownerOf returns the index of the host that owns a key.
func (d *deployment) ownerOf(key string) int {
	incarnations := lo.Map(d.store.Keys("hosts/"), func(k string, _ int) string { return strings.TrimPrefix(k, "hosts/") })
	first := fleet.Rank(key, incarnations, func(s string) string { return s })[0]
	kv, err := d.store.Get(d.t.Context(), "hosts/"+first)
	require.NoError(d.t, err)
	var host struct{ Host string }
	require.NoError(d.t, json.Unmarshal(kv.Value, &host))
	_, i, found := lo.FindIndexOf(lo.Range(len(d.hostSettings)), func(i int) bool { return string(d.hostSettings[i].Host) == host.Host })
	require.True(d.t, found)
	return i
}

// TestRolloutGoesOnWhileTheDecidingHostIsCutOff cuts the deciding host off from the store and from the other
// hosts. It guards against a version that is reported as completed while the host that is cut off still has
// requests at the old one, and against a bad one that a host keeps.
func TestRolloutGoesOnWhileTheDecidingHostIsCutOff(t *testing.T) {
	for name, bad := range map[string]platformtest.BadVersion{"good": {}, "fails": {FailureRate: 0.5}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := &cutDeployment{paths: []*platformtest.Path{platformtest.NewPath(), platformtest.NewPath(), platformtest.NewPath()}}
			d.deployment = newDeployment(t, 3, withRolloutBounds, func(plain *deployment) {
				plain.hostOptions = func(i int) []fronthost.Option {
					return []fronthost.Option{fronthost.WithSystemDial(d.paths[i].DialContext)}
				}
			})
			for _, e := range d.addEndpoints(3, "plain", "v2") {
				e.SetBad(bad)
			}
			time.Sleep(500 * time.Millisecond)
			l := d.plainLoad(10 * time.Millisecond)
			owner, ordered := d.ownerOf("rollout/plain"), time.Now()
			d.store.OrderRollout("plain", "v2", rolloutSeconds)
			d.awaitStatus("plain", "running", 2*time.Second, nil)
			known := time.Now()
			d.isolate(owner, platformtest.CutSilent)
			time.Sleep(3 * time.Second)
			for _, p := range d.paths {
				p.Mend()
			}
			want := lo.Ternary(bad.FailureRate > 0, "rolled_back", "completed")
			running := 0
			d.awaitStatus("plain", want, (rolloutSeconds+4)*time.Second, func() {
				running = lo.SumBy(d.ofVersion("plain", "v2", false), (*platformtest.Endpoint).Running)
			})
			t.Logf("%s after %s", want, time.Since(ordered))
			if want == "completed" {
				require.Zero(t, running, "requests at the old version")
			} else {
				d.requireExposure("plain", "v2", known)
			}
			l.end()
			t.Log(l.statuses)
		})
	}
}

// TestRollbackOutlastsAnOlderCopyOfTheStore guards against a bad version that comes back since the store did
// not know any more that it was rolled back.
func TestRollbackOutlastsAnOlderCopyOfTheStore(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2, withRolloutBounds)
	isNew := d.addEndpoints(2, "plain", "v2")
	for _, e := range isNew {
		e.SetBad(platformtest.BadVersion{FailureRate: 0.6})
	}
	time.Sleep(500 * time.Millisecond)
	l := d.plainLoad(10 * time.Millisecond)
	d.store.OrderRollout("plain", "v2", 60)
	d.awaitStatus("plain", "running", 2*time.Second, nil)
	older := d.store.Copy()
	d.awaitStatus("plain", "rolled_back", 20*time.Second, nil)
	time.Sleep(time.Second)
	since := time.Now()
	d.store.Restore(older)
	state, _ := d.store.RolloutStatus("plain")
	require.Equal(t, "running", state)
	d.awaitStatus("plain", "rolled_back", 5*time.Second, nil)
	time.Sleep(time.Second)
	_, n := d.arrivals("plain", "v2", since, time.Now())
	require.Zero(t, n)
	l.end()
	// A host that starts learns it from the store.
	first := d.joinHosts(1)
	for range 20 {
		r := d.sendPlain(first, "GET", "/look/a", newID())
		require.Equal(t, http.StatusOK, r.StatusCode)
		r.Body.Close()
	}
	// Without the order, the version is left out while another one serves.
	l = d.plainLoad(10 * time.Millisecond)
	d.store.Remove(platformtest.RolloutKey("plain"))
	time.Sleep(time.Second)
	_, n = d.arrivals("plain", "v2", since, time.Now())
	require.Zero(t, n)
	l.end()
}

// TestRepeatedOrderStartsAnew repeats the order of a version that was rolled back and has been mended since.
func TestRepeatedOrderStartsAnew(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2, withRolloutBounds)
	isNew := d.addEndpoints(2, "plain", "v2")
	for _, e := range isNew {
		e.SetBad(platformtest.BadVersion{FailureRate: 0.8})
	}
	time.Sleep(500 * time.Millisecond)
	l := d.plainLoad(10 * time.Millisecond)
	d.store.OrderRollout("plain", "v2", rolloutSeconds)
	d.awaitStatus("plain", "rolled_back", 10*time.Second, nil)
	for _, e := range isNew {
		e.SetBad(platformtest.BadVersion{})
	}
	d.store.OrderRollout("plain", "v2", rolloutSeconds)
	d.awaitStatus("plain", "running", 2*time.Second, nil)
	d.awaitStatus("plain", "completed", rolloutSeconds*time.Second, nil)
	l.end()
}

// TestOrderOfAVersionWithoutEndpointsChangesNothing guards against requests that find no endpoint.
func TestOrderOfAVersionWithoutEndpointsChangesNothing(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2, withRolloutBounds)
	l := d.plainLoad(20 * time.Millisecond)
	d.store.OrderRollout("plain", "v9", 3)
	d.awaitStatus("plain", "running", 2*time.Second, nil)
	time.Sleep(6 * time.Second)
	state, _ := d.store.RolloutStatus("plain")
	t.Log("status after the deadline:", state)
	require.NotEqual(t, "completed", state)
	l.end()
	require.Equal(t, []int{http.StatusOK}, lo.Keys(l.statuses))
}

// TestStreamsEndBeforeTheStatus guards against streams that the end of the old endpoints cuts: some last for
// seconds.
func TestStreamsEndBeforeTheStatus(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2, withRolloutBounds)
	d.addEndpoints(3, "engine", "v2")
	for _, e := range d.ofVersion("engine", "v9", false) {
		e.SetStall(1500 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	l := d.startLoad(100*time.Millisecond, func(n int) platformtest.CallerRequest {
		req := d.newStreamRequest(n%2, "/plan/a", newID(), "")
		req.Session = fmt.Sprint(n)
		return req
	})
	ordered := time.Now()
	d.store.OrderRollout("engine", "v2", rolloutSeconds)
	running := 0
	d.awaitStatus("engine", "completed", rolloutSeconds*time.Second, func() {
		running = lo.SumBy(d.ofVersion("engine", "v2", false), (*platformtest.Endpoint).Running)
	})
	t.Logf("completed after %s", time.Since(ordered))
	require.Zero(t, running, "streams at the old version")
	time.Sleep(500 * time.Millisecond)
	l.end()
	t.Log(l.statuses)
	require.Equal(t, []int{http.StatusOK}, lo.Keys(l.statuses))
}

// TestStageServiceIsRolledOut moves a stage service whose calls the owner of its shard plans: a good version to
// the end, and one that fails back.
func TestStageServiceIsRolledOut(t *testing.T) {
	for name, bad := range map[string]platformtest.BadVersion{"good": {}, "fails": {FailureRate: 0.5}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 2, withRolloutBounds)
			d.endpoints["s1"].SetDelay(endpointDelay)
			d.addEndpoints(3, "stage", "v1")
			for _, e := range d.addEndpoints(4, "stage", "v2") {
				e.SetBad(bad)
			}
			d.addEngines(3)
			l := d.startLoad(40*time.Millisecond, func(n int) platformtest.CallerRequest {
				req := d.newStreamRequest(n%2, "/answer/a", newID(), "1,1")
				req.Session, req.PieceKey = fmt.Sprint(n), newID()
				return req
			})
			time.Sleep(500 * time.Millisecond)
			ordered := time.Now()
			d.store.OrderRollout("stage", "v2", rolloutSeconds)
			time.Sleep(300 * time.Millisecond)
			known := time.Now()
			want := lo.Ternary(bad.FailureRate > 0, "rolled_back", "completed")
			if want == "completed" {
				time.Sleep(4 * time.Second)
				d.requireExposure("stage", "v2", known)
			}
			d.awaitStatus("stage", want, (rolloutSeconds+1)*time.Second, nil)
			t.Logf("%s after %s", want, time.Since(ordered))
			if want == "rolled_back" {
				d.requireExposure("stage", "v2", known)
			}
			seen := time.Now()
			time.Sleep(time.Second)
			l.end()
			t.Log(l.statuses)
			all, isNew := d.arrivals("stage", "v2", seen.Add(300*time.Millisecond), time.Now())
			require.Equal(t, lo.Ternary(want == "completed", all, 0), isNew)
			require.Positive(t, all)
		})
	}
}

// TestHostsReportOnlyWithAnOrder counts the writes to the store: none without an order, few with one.
func TestHostsReportOnlyWithAnOrder(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2, withRolloutBounds)
	d.addEndpoints(2, "plain", "v2")
	// The hosts write the lists of versions as complete some 2.5 s after they have started.
	time.Sleep(4 * time.Second)
	before := d.store.Calls().Commit
	time.Sleep(time.Second)
	require.Equal(t, before, d.store.Calls().Commit)
	l := d.plainLoad(10 * time.Millisecond)
	d.store.OrderRollout("plain", "v2", rolloutSeconds)
	d.awaitStatus("plain", "completed", rolloutSeconds*time.Second, nil)
	time.Sleep(time.Second)
	l.end()
	commits := d.store.Calls().Commit - before
	t.Log(commits, "writes")
	require.LessOrEqual(t, commits, int64(3), "running, shift and completed")
}
