package deployment_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/client"
	"cicadapitch.example/cicadapitch/deployment"
	"cicadapitch.example/cicadapitch/standin"
)

const (
	customerKey  = "sample-key-of-club"
	requestCount = 200
	workerCount  = 20
)

// TestRequestsCauseNoStoreCalls guards against store calls on the request path. It
// compares the store calls of the hosts while they serve requests of both pipelines
// with those of idle hosts.
func TestRequestsCauseNoStoreCalls(t *testing.T) {
	l := startLocal(t)
	sendRequests(t, l, workerCount)
	duration, underLoad := callsDuring(l, func() { sendRequests(t, l, requestCount) })
	_, idleFirst := callsDuring(l, func() { time.Sleep(duration) })
	_, idleSecond := callsDuring(l, func() { time.Sleep(duration) })
	t.Logf("in %v under load %+v, without %+v and %+v", duration, underLoad, idleFirst, idleSecond)
	// Hosts renew their leases, read and watch the store at fixed intervals, so each
	// host may make one call of each kind more in one period than in another.
	tolerance := int64(len(l.Settings()))
	require.Zero(t, underLoad.Commit+underLoad.Grant+underLoad.Revoke, "writes other than renewals under load")
	require.Zero(t, underLoad.List, "lists under load")
	require.LessOrEqual(t, underLoad.Watch, max(idleFirst.Watch, idleSecond.Watch)+tolerance, "watches under load")
	require.LessOrEqual(t, underLoad.Renew, max(idleFirst.Renew, idleSecond.Renew)+tolerance, "renewals under load")
	require.LessOrEqual(t, underLoad.Get, max(idleFirst.Get, idleSecond.Get)+tolerance, "reads under load")
	require.Len(t, l.Bookings("booking"), (requestCount+workerCount)/2)
}

// callsDuring runs work and returns how long it took and the store calls made in
// that time.
func callsDuring(l *deployment.Local, work func()) (time.Duration, standin.Calls) {
	before, start := l.Store.Calls(), time.Now()
	work()
	after := l.Store.Calls()
	return time.Since(start), standin.Calls{
		Get: after.Get - before.Get, List: after.List - before.List, Watch: after.Watch - before.Watch,
		Commit: after.Commit - before.Commit, Grant: after.Grant - before.Grant,
		Renew: after.Renew - before.Renew, Revoke: after.Revoke - before.Revoke,
	}
}

// sendRequests sends n requests, alternately to the pipelines answer and book, and
// waits until all have been answered.
func sendRequests(t *testing.T, l *deployment.Local, n int) {
	t.Helper()
	c := client.New(l.Seeds(), customerKey)
	var workers sync.WaitGroup
	for w := range workerCount {
		workers.Go(func() {
			for i := w; i < n; i += workerCount {
				pipeline := []cicadapitch.PipelineID{"answer", "book"}[i%2]
				req := cicadapitch.Request{Pipeline: pipeline, Input: fmt.Sprintf("%d of %d", i, n)}
				sendUntilRun(t, c, req)
			}
		})
	}
	workers.Wait()
}

// sendUntilRun retries a request for as long as it fails with a NotRun error.
func sendUntilRun(t *testing.T, c *client.Client, req cicadapitch.Request) {
	_, err := c.Do(context.Background(), req, nil)
	for cicadapitch.KindOf(err) == cicadapitch.NotRun {
		_, err = c.Do(context.Background(), req, nil)
	}
	if err != nil {
		t.Errorf("%s: %v", req.Input, err)
	}
}
