package fronthost_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fronthost"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// restartDelay is the pause before a process that has ended is started again.
const restartDelay = 500 * time.Millisecond

// TestHostsThatStopTogetherLeaveCallersOneToGoTo stops all hosts at the same moment and starts
// another one for each that has ended. A caller that tries all hosts is served at any time.
func TestHostsThatStopTogetherLeaveCallersOneToGoTo(t *testing.T) {
	const hosts = 3
	d := newDeployment(t, hosts)
	time.Sleep(time.Second) // each host knows the others
	subnet := nextSubnet.Add(1)
	var mu sync.Mutex
	replace := func(i int) *deployment {
		mu.Lock()
		defer mu.Unlock()
		d.startHost(platformtest.LoopbackAddress(int(subnet), i+1), hosts+i)
		return &deployment{hostSettings: d.hostSettings[len(d.hostSettings)-1:]}
	}
	listed := func() []*platform.Settings {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(d.hostSettings)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var asked, refused atomic.Int64
	start := time.Now()
	for range 4 {
		callers.Go(func() {
			for ctx.Err() == nil {
				asked.Add(1)
				if err := (&deployment{t: t, hostSettings: listed()}).askEverywhere(); err != nil {
					refused.Add(1)
					t.Logf("after %v: %v", time.Since(start), err)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	for i, s := range listed() {
		s.Bounds.ShutdownGrace = 8000
		d.cancels[i]()
	}
	var restarts sync.WaitGroup
	for i, done := range slices.Clone(d.stopped) {
		restarts.Go(func() {
			<-done
			time.Sleep(restartDelay)
			replacement := replace(i)
			require.Eventually(t, func() bool { return replacement.ready(0) }, 5*time.Second, 20*time.Millisecond)
		})
	}
	restarts.Wait()
	took := time.Since(start)
	cancel()
	callers.Wait()
	require.Zero(t, refused.Load(), "of %d", asked.Load())
	require.Less(t, took, 8*time.Second)
}

// askEverywhere sends a request to one host after the other, in random order, until one serves it.
// The error says what the hosts answered.
func (d *deployment) askEverywhere() error {
	var failed []error
	for _, i := range rand.Perm(len(d.hostSettings)) {
		resp, err := d.trySend(d.newRequest(i, "GET", "/look/a", newID()))
		if err != nil {
			failed = append(failed, err)
			continue
		}
		body := readBody(d.t, resp)
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		failed = append(failed, fmt.Errorf("host %d: %d %s", i, resp.StatusCode, body))
	}
	return errors.Join(failed...)
}

func TestListenerClosesByTurnsWhileNoOtherHostTakesCallers(t *testing.T) {
	const grace cicadapitch.Millis = 8000
	var hosts []cicadapitch.HostID
	for i := range 6 {
		hosts = append(hosts, cicadapitch.HostID(fmt.Sprint("h", i)))
	}
	closesAt := func(self cicadapitch.HostID, others int) cicadapitch.Millis {
		at := cicadapitch.Millis(0)
		for !fronthost.ClosesListener(grace, self, hosts, at, others) {
			at += 10
		}
		return at
	}
	turns := map[cicadapitch.Millis]bool{}
	for _, h := range hosts {
		alone, served := closesAt(h, 0), closesAt(h, 1)
		require.Equal(t, cicadapitch.Millis(2500), served)
		require.GreaterOrEqual(t, alone, served)
		require.Less(t, alone, grace)
		turns[alone] = true
	}
	require.Len(t, turns, len(hosts))
}
