package proof_test

import (
	"testing"
	"time"
)

const loadWorkers = 12

// TestRollingRestartCutsNoRequest restarts every host in turn under load.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	f := newFleet(t)
	l := startLoad(f, loadWorkers)
	for i := range f.hosts {
		f.hosts[i].terminate()
		f.replace(i)
		f.awaitReady()
	}
	all := l.stop()
	requireAllAnswered(t, all)
	requireWhole(t, all)
	requireAtMostOnce(t, f, all)
	t.Logf("%d requests", len(all))
}

// TestKilledHostLosesNoRequestThatMayBeRepeated kills each host in turn under
// load.
func TestKilledHostLosesNoRequestThatMayBeRepeated(t *testing.T) {
	f := newFleet(t)
	l := startLoad(f, loadWorkers)
	for i := range f.hosts {
		time.Sleep(time.Second)
		f.hosts[i].kill()
		time.Sleep(2 * time.Second)
		f.replace(i)
		f.awaitReady()
	}
	all := l.stop()
	requireWhole(t, all)
	requireAtMostOnce(t, f, all)
	requireOnlyBookingsFailed(t, all)
	t.Logf("%d requests, %d failed", len(all), len(failures(all)))
}
