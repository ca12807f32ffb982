package proof_test

import (
	"syscall"
	"testing"
	"time"
)

// freezeDuration is longer than every lease of a host.
const freezeDuration = 20 * time.Second

// TestFrozenHostBooksAtMostOnce freezes a host under load for longer than its
// lease and then resumes it. No booking may be made twice.
func TestFrozenHostBooksAtMostOnce(t *testing.T) {
	f := newFleet(t)
	l := startLoad(f, loadWorkers)
	time.Sleep(time.Second)
	f.hosts[1].signal(syscall.SIGSTOP)
	time.Sleep(freezeDuration)
	f.hosts[1].signal(syscall.SIGCONT)
	time.Sleep(3 * time.Second)
	results := l.stop()
	requireCompleteAnswers(t, results)
	requireBookingsMatchResults(t, f, results)
	requireOnlyBookingsFailed(t, results)
	requireNoColdOverload(t, f)
	t.Logf("%d requests, %d failed", len(results), len(failedRequests(results)))
}
