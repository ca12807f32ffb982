package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

const (
	// maxSuspects bounds the parts that a ledger holds.
	maxSuspects = 1024
	// maxReports bounds the reports that a host sends at once.
	maxReports = 64
	// reportTime is how long after its last change a part with a single crash is reported
	// unasked. Many parts are in one crash; those that crash more are always reported. A
	// whole request with a single crash is not, since few ever come again.
	reportTime = 2 * cicadapitch.Second
)

// Change is a part that was quarantined, or is no longer.
type Change struct {
	Part  string
	State State
	// Crashes is the number of crashes that are known.
	Crashes int
}

// Ledger holds what this host knows of parts that crash endpoints. It is safe for
// concurrent use.
type Ledger struct {
	// size is the number of suspects, so that requests need no lock while there are none.
	size atomic.Int32

	// mu guards the fields below.
	mu       sync.Mutex
	suspects map[string]*suspect
	// quarantinedParts is the number of suspects that are quarantined and no whole requests.
	quarantinedParts int
	// answeredParts and answeredRequests hold what was in answers here, suspects or not.
	answeredParts, answeredRequests answerLog
	onChange                        func(Change)
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{suspects: map[string]*suspect{}}
}

// OnChange registers a function that is called with each change. It runs with the lock
// of the ledger held, so it must not block or call the ledger.
func (l *Ledger) OnChange(f func(Change)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onChange = f
}

// JudgeDelay is the time from RecordCrash until Judge, in which the reports of other hosts
// on the same crash arrive.
const JudgeDelay cicadapitch.Millis = 100

// RecordCrash records that the endpoint of a request with the given shared parts crashed.
// A request with a part that is quarantined already says nothing of its other parts, but
// explains the crash for requests that ran beside it. Other parts with the same crashes remain
// as good an explanation.
func (l *Ledger) RecordCrash(now cicadapitch.Instant, parts []string, c Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if part, state := l.worst(now, parts, false); state == Quarantined {
		known := independent(l.suspects[part].crashes)
		for _, p := range parts {
			if s := l.suspects[p]; p == part || s != nil && !IsRequestKey(p) && len(known) > 0 && s.covers(known) {
				l.change(now, p, func(s *suspect) { s.addCrashes(c) })
			}
		}
		return
	}
	for i, part := range parts {
		l.change(now, part, func(s *suspect) { s.addCrashes(c); s.position = max(s.position, i) })
	}
}

// Judge quarantines one of the shared parts of a request whose endpoint crashed, if it has
// crashed enough endpoints, and reports whether it did. Of several that may have, that is one that was in no
// answer lately, with the most independent crashes, and then the last one, which the fewest sound requests share.
// A part is spared while another one explains its crashes: requests with both ran side by side, or all
// requests have the part.
func (l *Ledger) Judge(now cicadapitch.Instant, parts []string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, state := l.worst(now, parts, false); state != Suspected {
		return false
	}
	guilty := lo.Filter(parts, func(part string, _ int) bool { return l.guilty(part, parts) })
	unanswered := lo.Filter(guilty, func(part string, _ int) bool { return l.suspects[part].answeredAt == 0 })
	if len(unanswered) > 0 {
		guilty = unanswered
	}
	part, _ := l.worst(now, guilty, false)
	if part == "" {
		return false
	}
	l.change(now, part, func(s *suspect) { s.quarantinedAt = now })
	l.liftExplained(now)
	return true
}

// RecordAnswer records that a run with the given shared parts outlived the beginning of
// its answer, which clears all of them.
func (l *Ledger) RecordAnswer(now cicadapitch.Instant, parts []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	quarantined := l.quarantinedParts
	for _, part := range parts {
		l.answered(part).record(now, part)
		if s := l.suspects[part]; s != nil && s.state() != Clear {
			l.change(now, part, func(s *suspect) { s.addAnswer(now) })
		}
	}
	if l.quarantinedParts < quarantined {
		l.judgeAll(now)
	}
}

// answered returns the log of answers for a part or for a whole request. The caller holds mu.
func (l *Ledger) answered(part string) *answerLog {
	if IsRequestKey(part) {
		return &l.answeredRequests
	}
	return &l.answeredParts
}

// Suspects reports whether there may be any suspects.
func (l *Ledger) Suspects() bool { return l.size.Load() > 0 }

// Check returns the worst state of the given parts, and the part that is in it: that with
// the most crashes, and of several the last one. The part is empty if all are clear. A quarantined
// part counts as suspected if an answer to the request would show that it is sound.
func (l *Ledger) Check(now cicadapitch.Instant, parts []string) (string, State) {
	if l.size.Load() == 0 {
		return "", Clear
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.worst(now, parts, true)
}

// worst is Check with the lock held. Quarantined parts stay so unless mayDispute is set.
func (l *Ledger) worst(now cicadapitch.Instant, parts []string, mayDispute bool) (string, State) {
	worst, state, crashes := "", Clear, 0
	for _, part := range parts {
		s := l.suspects[part]
		if s == nil || s.expired(now) {
			continue
		}
		st, n := l.stateOf(part, s), len(independent(s.crashes))
		if st == Quarantined && mayDispute && l.disputed(part, parts) {
			st = Suspected
		}
		if st > state || st == state && st != Clear && n >= crashes {
			worst, state, crashes = part, st, n
		}
	}
	return worst, state
}

// AllowsTrial reports whether a request with the given parts, of which part is one, may be sent to find out
// whether it crashes its endpoint, so that the crash would count as independent.
func (l *Ledger) AllowsTrial(now cicadapitch.Instant, part string, parts ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[part]
	return s == nil || now >= s.lastCrash().Add(relaySlack) && (s.state() != Quarantined || l.disputed(part, parts))
}

// Crashes returns the number of crashes that are known of a part.
func (l *Ledger) Crashes(part string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.suspects[part]; s != nil {
		return len(s.crashes)
	}
	return 0
}

// Quarantined returns when each quarantined part was quarantined.
func (l *Ledger) Quarantined(now cicadapitch.Instant) map[string]cicadapitch.Instant {
	out := map[string]cicadapitch.Instant{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for part, s := range l.suspects {
		if s.state() == Quarantined && !s.expired(now) {
			out[part] = s.quarantinedAt
		}
	}
	return out
}

// Reports returns reports of the suspects with the given parts, or of those that others
// have to know if there are none, at most maxReports: the worst ones, then those that
// changed last.
func (l *Ledger) Reports(now cicadapitch.Instant, parts ...string) []Report {
	if l.size.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	if len(parts) == 0 {
		for part, s := range l.suspects {
			if s.state() == Quarantined || len(s.crashes) > 1 || !IsRequestKey(part) && now.Sub(s.changedAt) < reportTime {
				parts = append(parts, part)
			}
		}
		if len(parts) == 0 {
			return nil
		}
	}
	parts = slices.DeleteFunc(slices.Clone(parts), func(part string) bool { return l.suspects[part] == nil })
	slices.SortFunc(parts, func(a, b string) int { return l.suspects[b].compare(l.suspects[a]) })
	var out []Report
	for _, part := range parts[:min(len(parts), maxReports)] {
		out = append(out, l.suspects[part].report(now, part))
	}
	return out
}

// compare orders suspects by how much they matter.
func (s *suspect) compare(other *suspect) int {
	return cmp.Or(cmp.Compare(s.state(), other.state()), cmp.Compare(len(s.crashes), len(other.crashes)), cmp.Compare(s.changedAt, other.changedAt))
}

// Merge adds the reports of another host.
func (l *Ledger) Merge(now cicadapitch.Instant, reports []Report) {
	if len(reports) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		l.merge(now, r)
	}
	l.liftExplained(now)
}

// merge adds one report. The caller holds mu.
func (l *Ledger) merge(now cicadapitch.Instant, r Report) {
	answeredAt, quarantinedAt := instant(now, r.AnsweredAgo), instant(now, r.QuarantinedAgo)
	if quarantinedAt > 0 && now.Sub(quarantinedAt) >= term || l.suspects[r.Part] == nil && quarantinedAt == 0 && len(r.Crashes) == 0 {
		return
	}
	l.change(now, r.Part, func(s *suspect) {
		s.addAnswer(answeredAt)
		s.position = max(s.position, r.Position)
		s.addCrashes(lo.Map(r.Crashes, func(c CrashReport, _ int) Crash {
			return Crash{c.Endpoint, instant(now, c.SentAgo), instant(now, c.EndedAgo)}
		})...)
		if s.quarantinedAt == 0 && quarantinedAt > s.clearedUntil() {
			s.quarantinedAt = quarantinedAt
		}
	})
}

// change applies f to the suspect for a part, which it creates if needed, and tells
// onChange if the part was quarantined or is no longer. The caller holds mu.
func (l *Ledger) change(now cicadapitch.Instant, part string, f func(*suspect)) {
	s := l.suspects[part]
	if s == nil {
		l.prune(now)
		s = &suspect{answeredAt: l.answered(part).last(now, part)}
		l.suspects[part] = s
		l.size.Store(int32(len(l.suspects)))
	}
	before, crashes := s.state(), len(s.crashes)
	f(s)
	after := s.state()
	if !IsRequestKey(part) {
		l.quarantinedParts += quarantines(after) - quarantines(before)
	}
	if after != before || len(s.crashes) != crashes {
		s.changedAt = now
	}
	if after != before && (before == Quarantined || after == Quarantined) && l.onChange != nil {
		l.onChange(Change{part, after, len(s.crashes)})
	}
}

func quarantines(s State) int {
	if s == Quarantined {
		return 1
	}
	return 0
}

// prune removes the expired suspects, and while there is no room for another one, the one
// that matters least. The caller holds mu.
func (l *Ledger) prune(now cicadapitch.Instant) {
	for part, s := range l.suspects {
		if s.expired(now) {
			l.remove(part)
		}
	}
	for len(l.suspects) >= maxSuspects {
		least := ""
		for part, s := range l.suspects {
			if least == "" || s.compare(l.suspects[least]) < 0 {
				least = part
			}
		}
		l.remove(least)
	}
	l.size.Store(int32(len(l.suspects)))
}

// remove forgets a suspect. The caller holds mu.
func (l *Ledger) remove(part string) {
	if !IsRequestKey(part) {
		l.quarantinedParts -= quarantines(l.suspects[part].state())
	}
	delete(l.suspects, part)
}
