package fronthost_test

import (
	"io"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

const (
	// maxEndlessHeap bounds what an endless answer may add to the heap.
	maxEndlessHeap = 32 << 20
	// promptAnswer bounds the time of an answer that need not wait for the deadline.
	promptAnswer = time.Second
)

// heapInUse returns the bytes of live objects.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// watchHeap samples the bytes of objects on the heap, dead ones included, until the function
// that it returns is called, which returns the largest sample.
func watchHeap(t *testing.T) func() int64 {
	stop, largest := make(chan struct{}), make(chan int64, 1)
	go func() {
		var peak int64
		for {
			select {
			case <-stop:
				largest <- peak
				return
			case <-time.After(10 * time.Millisecond):
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, int64(m.HeapAlloc))
			}
		}
	}()
	stopped := false
	end := func() int64 { stopped = true; close(stop); return <-largest }
	t.Cleanup(func() {
		if !stopped {
			end()
		}
	})
	return end
}

// endlessCase is a request to endpoints whose answers never end.
type endlessCase struct {
	form, method, path string
	// status is the status for the caller, 0 if the answer begins and breaks off.
	status int
	// prompt is true if the answer must come before the deadline.
	prompt bool
}

// TestAnswersWithoutEndAreCutOff guards against hosts that read an endpoint's answer until
// their memory or the caller's time is used up.
func TestAnswersWithoutEndAreCutOff(t *testing.T) {
	d := newDeployment(t, 1)
	for _, c := range []endlessCase{
		{platformtest.EndlessLine, "POST", "/book/a", http.StatusBadGateway, true},
		{platformtest.EndlessHeader, "POST", "/book/a", http.StatusBadGateway, true},
		{platformtest.EndlessInterim, "POST", "/book/a", http.StatusBadGateway, true},
		{platformtest.EndlessRefusal, "POST", "/book/a", http.StatusServiceUnavailable, true},
		{platformtest.EndlessDrip, "POST", "/book/a", http.StatusServiceUnavailable, true},
		{platformtest.EndlessDrip, "POST", "/plan/a", http.StatusServiceUnavailable, true},
		{platformtest.EndlessBody, "POST", "/book/a", 0, false},
		{platformtest.EndlessHeader, "POST", "/plan/a", http.StatusBadGateway, true},
		{platformtest.EndlessEvent, "POST", "/plan/a", http.StatusBadGateway, true},
		{platformtest.EndlessEvent, "POST", "/answer/a", http.StatusBadGateway, true},
	} {
		t.Run(c.form+c.path, func(t *testing.T) {
			for _, e := range d.endpoints {
				if e.Service != "stage" {
					e.SetEndless(c.form)
				}
			}
			before := heapInUse()
			peak := watchHeap(t)
			req := d.newRequest(0, c.method, c.path, newID())
			if c.path != "/book/a" {
				req = d.newStreamRequest(0, c.path, newID(), "0,0")
			}
			req.Deadline = 2000
			start := time.Now()
			r, err := d.trySend(req)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, r.Body)
			r.Body.Close()
			took := time.Since(start)
			if c.status == 0 {
				require.Error(t, err, "the answer must not look complete")
			} else {
				require.NoError(t, err)
				require.Equal(t, c.status, r.StatusCode)
			}
			require.Less(t, took, 2200*time.Millisecond)
			if c.prompt {
				require.Less(t, took, promptAnswer)
			}
			require.Less(t, peak()-before, int64(maxEndlessHeap))
			require.Eventually(t, func() bool {
				for _, e := range d.endpoints {
					if begun, ended, _ := e.EndlessAnswers(); begun != ended {
						return false
					}
				}
				return true
			}, time.Second, 20*time.Millisecond, "the connections are closed")
		})
	}
}

// TestStageAnswersWithoutEndAreCutOff lets a stage endpoint answer without end. The request
// must get its answer by another one.
func TestStageAnswersWithoutEndAreCutOff(t *testing.T) {
	for _, form := range []string{platformtest.EndlessHeader, platformtest.EndlessBody} {
		d := newDeployment(t, 1)
		e := platformtest.NewEndpoint("s2", "stage")
		d.endpoints["s2"] = e
		d.store.Set(platformtest.EndpointKey("s2"), e.Entry("ready"))
		time.Sleep(200 * time.Millisecond)
		d.endpoints["s1"].SetEndless(form)
		before := heapInUse()
		peak := watchHeap(t)
		served := 0
		for range 6 {
			r, err := d.trySend(d.newStreamRequest(0, "/answer/a", newID(), "1,1"))
			require.NoError(t, err)
			if _, err := io.Copy(io.Discard, r.Body); err == nil && r.StatusCode == http.StatusOK {
				served++
			}
			r.Body.Close()
		}
		begun, _, maxBytes := d.endpoints["s1"].EndlessAnswers()
		require.Positive(t, begun)
		require.Less(t, maxBytes, int64(maxEndlessHeap))
		require.Less(t, peak()-before, int64(maxEndlessHeap))
		require.Equal(t, 6, served)
	}
}

// maxCrowdHeap bounds what endless answers to many requests at once may add to the heap: a third of the memory of
// the smallest hosts.
const maxCrowdHeap = 60 << 20

// endlessForms are the forms of answers without end.
var endlessForms = []string{
	platformtest.EndlessLine, platformtest.EndlessHeader, platformtest.EndlessInterim, platformtest.EndlessBody,
	platformtest.EndlessEvent, platformtest.EndlessRefusal, platformtest.EndlessDrip,
}

// requireCrowdMemory lets all endpoints of a service answer without end, and fails if the answers to many requests at
// once to host 0 look complete or take more than maxCrowdHeap.
func (d *deployment) requireCrowdMemory(t *testing.T, service, form, method, path, pieces string) {
	const callers = 120
	for _, e := range d.endpoints {
		if e.Service == service {
			e.SetEndless(form)
		}
	}
	before := heapInUse()
	peak := watchHeap(t)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			req := d.newRequest(0, method, path, newID())
			if method == "POST" {
				req = d.newStreamRequest(0, path, newID(), pieces)
			}
			req.Deadline = 1500
			r, err := d.trySend(req)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, r.Body)
			r.Body.Close()
			assert.False(t, err == nil && r.StatusCode == http.StatusOK, "the answer looks complete")
		})
	}
	wg.Wait()
	grown := peak() - before
	t.Logf("%d MB", grown>>20)
	require.Less(t, grown, int64(maxCrowdHeap))
	for _, e := range d.endpoints {
		e.SetEndless("")
	}
	time.Sleep(300 * time.Millisecond)
}

// requireLookUp fails if host 0 does not serve a look-up soon.
func (d *deployment) requireLookUp(t *testing.T) {
	require.Eventually(t, func() bool {
		r, err := d.trySend(d.newRequest(0, "GET", "/look/a", newID()))
		if err != nil {
			return false
		}
		r.Body.Close()
		return r.StatusCode == http.StatusOK
	}, 5*time.Second, 100*time.Millisecond, "the host serves on")
}

// TestManyAnswersWithoutEndAtOnceLeaveMemory guards against hosts that keep a bounded part of each of many
// endless answers, which together are more than they have.
func TestManyAnswersWithoutEndAtOnceLeaveMemory(t *testing.T) {
	d := newDeployment(t, 1)
	d.setConfiguration(platformtest.PlainStreamRoute)
	time.Sleep(500 * time.Millisecond)
	for _, c := range []struct{ name, service, method, path, pieces string }{
		{"resumable stream", "plain", "POST", "/feed/a", ""},
		{"look-up", "plain", "GET", "/look/a", ""},
		{"engine", "engine", "POST", "/plan/a", ""},
		{"stages", "stage", "POST", "/answer/a", "2,2"},
	} {
		for _, form := range endlessForms {
			t.Run(c.name+"/"+form, func(t *testing.T) { d.requireCrowdMemory(t, c.service, form, c.method, c.path, c.pieces) })
		}
	}
	d.requireLookUp(t)
}

// TestManyRelayedAnswersWithoutEndAtOnceLeaveMemory covers a host that reaches the endpoints over another one.
func TestManyRelayedAnswersWithoutEndAtOnceLeaveMemory(t *testing.T) {
	d := newCutDeployment(t, 2)
	d.setConfiguration(platformtest.PlainStreamRoute)
	d.paths[0].Cut(platformtest.CutReset)
	time.Sleep(500 * time.Millisecond)
	d.requireLookUp(t)
	for _, form := range endlessForms {
		t.Run(form, func(t *testing.T) { d.requireCrowdMemory(t, "plain", form, "POST", "/feed/a", "") })
	}
	d.requireLookUp(t)
}
