package proof_test

import (
	"testing"
	"time"
)

// TestRollingRestartFailsNoRequest restarts the hosts under load, one after
// another.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	f := newFleet(t)
	l := startLoad(f, loadWorkers)
	for i := range f.hosts {
		f.hosts[i].terminate()
		f.replace(i)
		f.awaitReady()
	}
	results := l.stop()
	requireAllAnswered(t, results)
	requireCompleteAnswers(t, results)
	requireBookingsMatchResults(t, f, results)
	t.Logf("%d requests", len(results))
}

// TestKilledHostLosesNoRequestThatMayBeRepeated kills and replaces the hosts under
// load, one after another. No idempotent request may fail; bookings may.
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
	results := l.stop()
	requireCompleteAnswers(t, results)
	requireBookingsMatchResults(t, f, results)
	requireOnlyBookingsFailed(t, results)
	t.Logf("%d requests, %d failed", len(results), len(failedRequests(results)))
}
