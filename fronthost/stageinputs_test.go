package fronthost_test

import (
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
