package quarantine

import "cicadapitch.example/cicadapitch"

// Never is the age of what has not happened.
const Never cicadapitch.Millis = -1

// Report is what a host tells others of one part. Times are ages, since the clocks of
// hosts differ.
type Report struct {
	Part string
	// Crashes holds one run for each endpoint process that ended.
	Crashes []CrashReport
	// AnsweredAgo is when a request with the part was last answered, QuarantinedAgo when
	// the part was quarantined, or Never.
	AnsweredAgo, QuarantinedAgo cicadapitch.Millis
	// Position is the highest position of the part among the shared parts of a crashed run.
	Position int
}

// CrashReport is a Crash with ages.
type CrashReport struct {
	Endpoint          cicadapitch.EndpointID
	SentAgo, EndedAgo cicadapitch.Millis
}

// age returns the age of an instant, or Never for 0.
func age(now, at cicadapitch.Instant) cicadapitch.Millis {
	if at == 0 {
		return Never
	}
	return max(now.Sub(at), 0)
}

// instant returns the instant with an age, or 0 for Never.
func instant(now cicadapitch.Instant, ago cicadapitch.Millis) cicadapitch.Instant {
	if ago < 0 {
		return 0
	}
	return now.Add(-ago)
}

func (s *suspect) report(now cicadapitch.Instant, part string) Report {
	r := Report{Part: part, AnsweredAgo: age(now, s.answeredAt), QuarantinedAgo: age(now, s.quarantinedAt), Position: s.position}
	for _, c := range s.crashes {
		r.Crashes = append(r.Crashes, CrashReport{c.Endpoint, age(now, c.SentAt), age(now, c.EndedAt)})
	}
	return r
}
