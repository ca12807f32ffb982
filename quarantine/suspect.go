package quarantine

import (
	"cmp"
	"slices"

	"cicadapitch.example/cicadapitch"
)

const (
	// crashesToQuarantine is the number of independent crashes after which a part is
	// quarantined, ambiguousCrashes the number if another part explains them better or the
	// part was in answers lately.
	crashesToQuarantine = 3
	ambiguousCrashes    = 5
	// maxCrashes bounds the crashes of a part that are kept, the latest ones.
	maxCrashes = 16
	// relaySlack is the error of an instant that was relayed between hosts as an age. It
	// counts in favor of a part: parts that crash endpoints are in no answer at all.
	relaySlack cicadapitch.Millis = 150
	// term is how long a part stays quarantined, and suspected after its last crash.
	term = 60 * cicadapitch.Minute
	// clearedMemory is how long a cleared suspect is kept, so that reports of its older
	// crashes do not make it a suspect again.
	clearedMemory = 10 * cicadapitch.Second
)

// Crash is the run of a request that ended with its endpoint.
type Crash struct {
	Endpoint        cicadapitch.EndpointID
	SentAt, EndedAt cicadapitch.Instant
}

// same reports whether two runs ended with the same process, as far as their times show.
func (c Crash) same(other Crash) bool {
	d := c.EndedAt.Sub(other.EndedAt)
	return c.Endpoint == other.Endpoint && max(d, -d) <= 2*relaySlack && !c.after(other) && !other.after(c)
}

// after reports whether the run was sent after another one had ended.
func (c Crash) after(other Crash) bool { return c.SentAt >= other.EndedAt.Add(relaySlack) }

// suspect is a part that was in the prompt of a crashed run.
type suspect struct {
	// crashes holds one run for each endpoint process that ended, in the order of the ends.
	crashes []Crash
	// answeredAt is when a run with the part last outlived the beginning of its answer.
	answeredAt cicadapitch.Instant
	// quarantinedAt is when the part was quarantined, or 0.
	quarantinedAt cicadapitch.Instant
	// changedAt is when the suspect last changed here.
	changedAt cicadapitch.Instant
	// position is the highest position of the part among the shared parts of a crashed run.
	position int
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

// addCrashes adds crashes, and drops those that are not newer than the last answer.
func (s *suspect) addCrashes(added ...Crash) {
	for _, c := range added {
		if !slices.ContainsFunc(s.crashes, c.same) {
			s.crashes = append(s.crashes, c)
		}
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return c.EndedAt <= s.clearedUntil() })
	slices.SortStableFunc(s.crashes, func(a, b Crash) int { return cmp.Compare(a.EndedAt, b.EndedAt) })
	s.crashes = s.crashes[max(len(s.crashes)-maxCrashes, 0):]
}

// independent returns those of crashes, in the order of their ends, that are independent: each run
// was sent after the run before it had ended, so that endpoints which are lost together count once.
func independent(crashes []Crash) []Crash {
	var out []Crash
	for _, c := range crashes {
		if len(out) == 0 || c.after(out[len(out)-1]) {
			out = append(out, c)
		}
	}
	return out
}

// explains reports whether this part is the better explanation of the independent crashes
// of another one: it was in runs at each of these processes, and the other was in an answer, which
// this one was not. If that does not tell them apart, it was in more crashes, or comes later in prompts,
// so that fewer sound ones share it.
func (s *suspect) explains(other *suspect) bool {
	better := len(s.crashes) > len(other.crashes) || len(s.crashes) == len(other.crashes) && s.position > other.position
	if answered := s.answeredAt > 0; answered != (other.answeredAt > 0) {
		better = !answered
	}
	return better && s.covers(independent(other.crashes))
}

// covers reports whether a run with the part ended with each of the same processes.
func (s *suspect) covers(crashes []Crash) bool {
	return !slices.ContainsFunc(crashes, func(c Crash) bool { return !s.has(c) })
}

// has reports whether a run with the part ended with the same process.
func (s *suspect) has(c Crash) bool { return slices.ContainsFunc(s.crashes, c.same) }

// addAnswer clears the crashes before an answer, and the quarantine.
func (s *suspect) addAnswer(at cicadapitch.Instant) {
	if at <= s.answeredAt {
		return
	}
	s.answeredAt = at
	s.addCrashes()
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
		return now.Sub(s.changedAt) >= term
	}
	return now.Sub(s.answeredAt) >= clearedMemory
}
