package quarantine

import (
	"sync"

	"cicadapitch.example/cicadapitch"
)

// trialTimeout is how long a trial lasts at most if its end is not reported.
const trialTimeout cicadapitch.Millis = 3000

// Trials grants trials of suspected parts: one request with such a part is sent at a time.
// The host that owns the part holds them for all hosts. Trials is safe for concurrent use.
type Trials struct {
	mu   sync.Mutex
	held map[string]trial
}

type trial struct {
	request cicadapitch.RequestID
	until   cicadapitch.Instant
}

// NewTrials returns Trials without any.
func NewTrials() *Trials { return &Trials{held: map[string]trial{}} }

// Begin grants a request the trial of a part, and reports whether it did. A request that
// holds the trial gets it again.
func (t *Trials) Begin(now cicadapitch.Instant, part string, request cicadapitch.RequestID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if held, ok := t.held[part]; ok && now < held.until && held.request != request {
		return false
	}
	for p, held := range t.held {
		if now >= held.until {
			delete(t.held, p)
		}
	}
	if len(t.held) >= maxSuspects {
		return false
	}
	t.held[part] = trial{request, now.Add(trialTimeout)}
	return true
}

// End ends the trials that a request holds.
func (t *Trials) End(request cicadapitch.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for part, held := range t.held {
		if held.request == request {
			delete(t.held, part)
		}
	}
}
