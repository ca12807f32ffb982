package quarantine

import "cicadapitch.example/cicadapitch"

const (
	// answerMemory is how long it is remembered that a part was in an answer.
	answerMemory = 10 * cicadapitch.Minute
	// maxAnswered is the number of parts of which it is remembered at least.
	maxAnswered = 4096
)

// answerLog remembers when parts were last in an answer. It keeps two generations, so that the parts
// that are still in use outlive the many that come once.
type answerLog struct {
	current, previous map[string]cicadapitch.Instant
}

func (l *answerLog) record(now cicadapitch.Instant, part string) {
	if l.current == nil || len(l.current) >= maxAnswered {
		l.previous, l.current = l.current, map[string]cicadapitch.Instant{}
	}
	l.current[part] = now
}

// last returns when the part was last in an answer, or 0 if that is not remembered.
func (l *answerLog) last(now cicadapitch.Instant, part string) cicadapitch.Instant {
	at, ok := l.current[part]
	if !ok {
		at, ok = l.previous[part]
	}
	if !ok || now.Sub(at) >= answerMemory {
		return 0
	}
	return at
}
