package quarantine

import (
	"cmp"
	"slices"

	"cicadapitch.example/cicadapitch"
)

const (
	// crashesToQuarantine is the number of independent crashes after which a part is
	// quarantined.
	crashesToQuarantine = 3
	// maxCrashes bounds the crashes of a part that are kept.
	maxCrashes = 2 * crashesToQuarantine
	// relaySlack is the error of an instant that was relayed between hosts as an age. It
	// counts in favor of a part: parts that crash endpoints are in no answer at all.
	relaySlack cicadapitch.Millis = 150
	// term is how long a part stays quarantined.
	term = 60 * cicadapitch.Minute
	// answerMemory is how long a cleared suspect is kept, so that reports of its older
	// crashes do not make it a suspect again.
	answerMemory = 10 * cicadapitch.Second
)

// Crash is the run of a request that ended with its endpoint.
type Crash struct{ SentAt, EndedAt cicadapitch.Instant }

// suspect is a part that was in the prompt of a crashed run.
type suspect struct {
	// crashes are independent: each run was sent after the run before it had ended, so
	// that endpoints which are lost together count once.
	crashes []Crash
	// answeredAt is when a run with the part last outlived the beginning of its answer.
	answeredAt cicadapitch.Instant
	// quarantinedAt is when the part was quarantined, or 0.
	quarantinedAt cicadapitch.Instant
	// changedAt is when the suspect last changed here.
	changedAt cicadapitch.Instant
}

func (s *suspect) state() State {
	switch {
	case s.quarantinedAt > 0:
		return Quarantined
	case len(s.crashes) > 0:
		return Suspected
	}
	return Clear
}

// lastCrash returns when the last crash ended its run, or 0.
func (s *suspect) lastCrash() cicadapitch.Instant {
	if len(s.crashes) == 0 {
		return 0
	}
	return s.crashes[len(s.crashes)-1].EndedAt
}

// clearedUntil returns the instant up to which crashes do not count.
func (s *suspect) clearedUntil() cicadapitch.Instant {
	if s.answeredAt == 0 {
		return 0
	}
	return s.answeredAt.Add(relaySlack)
}

// addCrashes adds crashes that are newer than the last answer, and keeps as many
// independent ones as there are. It reports whether their number changed.
func (s *suspect) addCrashes(added []Crash) bool {
	before := len(s.crashes)
	all := append(slices.Clone(s.crashes), added...)
	slices.SortStableFunc(all, func(a, b Crash) int { return cmp.Compare(a.EndedAt, b.EndedAt) })
	s.crashes = s.crashes[:0:0]
	for _, c := range all {
		independent := len(s.crashes) == 0 || c.SentAt >= s.lastCrash().Add(relaySlack)
		if c.EndedAt > s.clearedUntil() && independent && len(s.crashes) < maxCrashes {
			s.crashes = append(s.crashes, c)
		}
	}
	return len(s.crashes) != before
}

// addAnswer clears the crashes before an answer, and the quarantine.
func (s *suspect) addAnswer(at cicadapitch.Instant) {
	if at <= s.answeredAt {
		return
	}
	s.answeredAt = at
	s.addCrashes(nil)
	if s.clearedUntil() >= s.quarantinedAt {
		s.quarantinedAt = 0
	}
}

// expired reports whether the suspect is of no use any more.
func (s *suspect) expired(now cicadapitch.Instant) bool {
	switch s.state() {
	case Quarantined:
		return now.Sub(s.quarantinedAt) >= term
	case Suspected:
		return false
	}
	return now.Sub(s.answeredAt) >= answerMemory
}
