package standin

import (
	"sync"

	"cicadapitch.example/cicadapitch"
)

// lagged shows load reports after a lag.
type lagged struct {
	clock cicadapitch.Clock
	lag   cicadapitch.Millis
	mu    sync.Mutex
	list  []cicadapitch.LoadReport
}

func (l *lagged) add(r cicadapitch.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.At = l.clock.Now()
	l.list = append(l.list, r)
	l.drop()
}

// drop forgets the reports before the one that shows now.
func (l *lagged) drop() {
	now := l.clock.Now()
	for len(l.list) > 1 && l.list[1].At.Add(l.lag) <= now {
		l.list = l.list[1:]
	}
}

func (l *lagged) current() cicadapitch.LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop()
	if len(l.list) == 0 {
		return cicadapitch.LoadReport{At: l.clock.Now()}
	}
	return l.list[0]
}
