package proof_test

import (
	"syscall"
	"testing"
	"time"
)

// freezeSpan is longer than every lease of a host.
const freezeSpan = 20 * time.Second

// TestFrozenHostResumesWithoutASecondRun freezes a host under load for longer
// than its lease and lets it go on.
func TestFrozenHostResumesWithoutASecondRun(t *testing.T) {
	f := newFleet(t)
	l := startLoad(f, loadWorkers)
	time.Sleep(time.Second)
	f.hosts[1].signal(syscall.SIGSTOP)
	time.Sleep(freezeSpan)
	f.hosts[1].signal(syscall.SIGCONT)
	time.Sleep(3 * time.Second)
	all := l.stop()
	requireWhole(t, all)
	requireAtMostOnce(t, f, all)
	requireOnlyBookingsFailed(t, all)
	requireNoColdOverload(t, f)
	t.Logf("%d requests, %d failed", len(all), len(failures(all)))
}
