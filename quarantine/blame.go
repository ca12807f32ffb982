package quarantine

import (
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// stateOf returns the state of a suspect. Crashes that a quarantined part explains do not make a part
// suspected. The caller holds mu.
func (l *Ledger) stateOf(part string, s *suspect) State {
	if state := s.state(); state != Suspected || len(l.openCrashes(part, s)) > 0 {
		return state
	}
	return Clear
}

// openCrashes returns the crashes of a part that no quarantined part explains. Quarantined whole requests
// explain nothing, nor are they explained: a bad one would need more crashes then. The caller holds mu.
func (l *Ledger) openCrashes(part string, s *suspect) []Crash {
	if IsRequestKey(part) || l.quarantinedParts == 0 {
		return s.crashes
	}
	return l.without(s, func(o *suspect) bool { return o.quarantinedAt > 0 })
}

// without returns the crashes of s in which none of the other parts for which is holds took part. The caller
// holds mu.
func (l *Ledger) without(s *suspect, is func(*suspect) bool) []Crash {
	crashes := slices.Clone(s.crashes)
	for key, o := range l.suspects {
		if o != s && !IsRequestKey(key) && is(o) {
			crashes = slices.DeleteFunc(crashes, o.has)
		}
	}
	return crashes
}

// guilty reports whether the crashes of a part of a request with the given parts suffice to
// quarantine it. The part need not be a suspect. The caller holds mu.
func (l *Ledger) guilty(part string, parts []string) bool {
	s := l.suspects[part]
	switch {
	case s == nil || s.quarantinedAt > 0:
		return false
	case IsRequestKey(part):
		return l.requestGuilty(s, parts)
	case s.answeredAt > 0:
		// Parts that repeat and were in no answer explain the crashes of one that was.
		open := l.without(s, func(o *suspect) bool {
			return o.quarantinedAt > 0 || o.answeredAt == 0 && len(o.crashes) > 1
		})
		return len(independent(open)) >= ambiguousCrashes
	}
	switch crashes := len(independent(l.openCrashes(part, s))); {
	case crashes >= ambiguousCrashes:
		return true
	case crashes < crashesToQuarantine:
		return false
	}
	return !l.anyPart(func(o *suspect) bool { return o != s && o.explains(s) })
}

// requestGuilty is guilty for a whole request. The caller holds mu.
func (l *Ledger) requestGuilty(s *suspect, parts []string) bool {
	switch crashes := len(independent(s.crashes)); {
	case crashes >= ambiguousCrashes:
		return true
	case crashes < crashesToQuarantine || s.answeredAt > 0:
		return false
	}
	return !lo.SomeBy(lo.Keys(l.suspects), func(key string) bool {
		return l.suspects[key] != s && !slices.Contains(parts, key) && l.explainsRequest(key, s)
	})
}

// explainsRequest reports whether a suspect explains the independent crashes of a whole request
// of whose parts it is none: it was in no answer, and in runs that ended with the same
// processes. Another whole request has to have crashed more, so that two bad ones which come
// together do not excuse each other. The caller holds mu.
func (l *Ledger) explainsRequest(key string, request *suspect) bool {
	s := l.suspects[key]
	needed := len(request.crashes)
	if IsRequestKey(key) {
		needed++
	}
	return s.answeredAt == 0 && len(s.crashes) >= needed && s.covers(independent(request.crashes))
}

// anyPart reports whether f holds for any suspect that is no whole request. The caller holds mu.
func (l *Ledger) anyPart(f func(*suspect) bool) bool {
	for key, s := range l.suspects {
		if !IsRequestKey(key) && f(s) {
			return true
		}
	}
	return false
}

const (
	// maxFailedTrials is the number of requests that may crash endpoints since a part was quarantined, so that
	// no other may be sent to find out whether the part is sound.
	maxFailedTrials = 2
	// noticeTime is how long after a quarantine other hosts may send requests, since they have not heard of it.
	noticeTime cicadapitch.Millis = 300
)

// disputed reports whether an answer to a request with the given parts would show that a quarantined part is
// sound, and another one bad. That is so if the request lacks a part that explains the crashes as well, or two
// that do so together while it is not certain that one part alone does. A request with other suspects would show
// nothing. The caller holds mu.
func (l *Ledger) disputed(part string, parts []string) bool {
	q := l.suspects[part]
	failed := lo.CountBy(independent(q.crashes), func(c Crash) bool { return c.SentAt >= q.quarantinedAt.Add(noticeTime) })
	if IsRequestKey(part) || len(q.crashes) == 0 || failed >= maxFailedTrials {
		return false
	}
	crashes := independent(q.crashes)
	explains := func(o *suspect) bool { return o.answeredAt == 0 && o.covers(crashes) }
	var absent []*suspect
	for key, o := range l.suspects {
		switch has := slices.Contains(parts, key); {
		case o == q || o.answeredAt > 0 || len(o.crashes) == 0 || IsRequestKey(key) && !has:
		case !has:
			absent = append(absent, o)
		case !explains(o):
			return false
		}
	}
	if slices.ContainsFunc(absent, explains) {
		return true
	}
	uncertain := q.answeredAt > 0 || l.anyPart(func(o *suspect) bool { return o != q && explains(o) })
	return failed == 0 && uncertain && explainTogether(absent, crashes)
}

// explainTogether reports whether two of the parts explain the crashes.
func explainTogether(parts []*suspect, crashes []Crash) bool {
	return slices.ContainsFunc(parts, func(a *suspect) bool {
		rest := slices.DeleteFunc(slices.Clone(crashes), a.has)
		return len(rest) < len(crashes) && slices.ContainsFunc(parts, func(b *suspect) bool { return b.covers(rest) })
	})
}

// liftExplained ends the quarantines of parts whose crashes another quarantined part explains better. The
// caller holds mu.
func (l *Ledger) liftExplained(now cicadapitch.Instant) {
	if l.quarantinedParts < 2 {
		return
	}
	for part, s := range l.suspects {
		if s.quarantinedAt > 0 && !IsRequestKey(part) && len(s.crashes) > 0 &&
			l.anyPart(func(o *suspect) bool { return o != s && o.quarantinedAt > 0 && o.explains(s) }) {
			l.change(now, part, func(s *suspect) { s.quarantinedAt = 0 })
		}
	}
}

// judgeAll quarantines the parts whose crashes a part explained that has turned out to be sound. The caller
// holds mu.
func (l *Ledger) judgeAll(now cicadapitch.Instant) {
	for part := range l.suspects {
		if !IsRequestKey(part) && l.guilty(part, []string{part}) {
			l.change(now, part, func(s *suspect) { s.quarantinedAt = now })
		}
	}
	l.liftExplained(now)
}
