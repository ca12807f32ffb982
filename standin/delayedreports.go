package standin

import (
	"sync"

	"cicadapitch.example/cicadapitch"
)

// delayedReports holds load reports and shows each one after a lag.
type delayedReports struct {
	clock   cicadapitch.Clock
	lag     cicadapitch.Millis
	mu      sync.Mutex
	reports []cicadapitch.LoadReport
}

// add stores a report with the current time.
func (l *delayedReports) add(r cicadapitch.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.At = l.clock.Now()
	l.reports = append(l.reports, r)
	l.dropSuperseded()
}

// dropSuperseded removes the reports that are older than the visible one. The
// caller must hold l.mu.
func (l *delayedReports) dropSuperseded() {
	now := l.clock.Now()
	for len(l.reports) > 1 && l.reports[1].At.Add(l.lag) <= now {
		l.reports = l.reports[1:]
	}
}

// current returns the report that is visible now.
func (l *delayedReports) current() cicadapitch.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropSuperseded()
	if len(l.reports) == 0 {
		return cicadapitch.LoadReport{At: l.clock.Now()}
	}
	return l.reports[0]
}
