package fronthost_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// forkRoute is a route with two first stages and one that follows the first of them.
const forkRoute = `,{"name":"fork","host":"h.example","prefix":"/fork/","kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,"target_gap_ms":250,"service":"engine","max_attempts":2,"stream_resume":true,
 "stages":[{"service":"stage","after":[],"byte_count":1000},{"service":"stage","after":[],"byte_count":1000},{"service":"stage","after":[0],"byte_count":1000}]}`

// TestStageOfAFailedRequestIsNotRunWithoutInputs guards against pieces that are asked for without
// their inputs, since another stage of the request has failed while theirs began.
func TestStageOfAFailedRequestIsNotRunWithoutInputs(t *testing.T) {
	d := newDeployment(t, 1)
	d.setConfiguration(forkRoute)
	time.Sleep(500 * time.Millisecond)
	d.endpoints["s1"].SetGoneStage(1)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 50 {
				if resp, err := d.trySend(d.newStreamRequest(0, "/fork/a", newID(), "1,1,1")); err == nil {
					resp.Body.Close()
				}
			}
		})
	}
	wg.Wait()
	require.NotZero(t, d.endpoints["s1"].KeyedPieces(1))
	require.Zero(t, d.endpoints["s1"].KeyedPieces(2), "of %d", d.endpoints["s1"].KeyedPieces(1))
}

// largeResultsRoute is a route of streams whose stage makes results that fill the memory of its endpoint.
const largeResultsRoute = `,{"name":"large","host":"h.example","prefix":"/large/","kind":"streaming","timeout_ms":5000,"target_latency_ms":3000,"target_gap_ms":250,"service":"engine","max_attempts":1,
 "stages":[{"service":"stage","after":[],"byte_count":200000}]}`

// TestResultsThatAnEngineHasFetchedAreFreedBeforeItsFirstEvent guards against stage endpoints that lack memory
// while requests wait for the first events of engines that have fetched their inputs long ago.
func TestResultsThatAnEngineHasFetchedAreFreedBeforeItsFirstEvent(t *testing.T) {
	d := newDeployment(t, 2)
	d.setConfiguration(largeResultsRoute)
	time.Sleep(time.Second)
	for _, id := range []string{"e1", "e2"} {
		d.endpoints[id].SetDelay(1500 * time.Millisecond)
	}
	start := time.Now()
	r := make(chan *http.Response, 1)
	go func() {
		resp, err := d.trySend(d.newStreamRequest(0, "/large/a", newID(), "3"))
		if err == nil {
			r <- resp
		}
	}()
	require.Eventually(t, func() bool {
		_, _, freed := d.endpoints["s1"].Calls()
		return freed == 3
	}, 1200*time.Millisecond, 10*time.Millisecond)
	resp := <-r
	require.Greater(t, time.Since(start), 1500*time.Millisecond)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.NoError(t, resp.Body.Close())
}
