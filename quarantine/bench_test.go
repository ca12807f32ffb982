package quarantine_test

import (
	"testing"

	"cicadapitch.example/cicadapitch/quarantine"
)

// BenchmarkPlainRequest measures what the quarantine adds to a plain request that is served.
func BenchmarkPlainRequest(b *testing.B) {
	l := quarantine.NewLedger()
	body := make([]byte, 600)
	b.ReportAllocs()
	for i := range b.N {
		body[0], body[1], body[2] = byte(i), byte(i>>8), byte(i>>16)
		keys := []string{quarantine.RequestKey(body, "POST", "h.example", "/book/a", "club", "")}
		l.Check(start, keys)
		l.RecordAnswer(start, keys)
	}
}
