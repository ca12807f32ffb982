package report_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/report"
)

// newRecorder returns a recorder that reports to a PrometheusReporter.
func newRecorder(t testing.TB) *report.Recorder {
	t.Helper()
	scope, closer := report.NewScope(report.NewPrometheusReporter())
	t.Cleanup(func() { _ = closer.Close() })
	return report.NewRecorder("a", deployment, scope)
}

func recordOne(r *report.Recorder) {
	r.Stage("clubs", "draft", cicadapitch.StageReport{Stage: "generate", Zone: "b", Attempts: 1, Cost: 0.5})
	r.Answered("clubs", "draft", 1400, true)
	r.Refused("clubs", "draft", cicadapitch.NotRun)
}

// TestRecordingDoesNotAllocate guards against allocations on the request path for
// series that exist already. The warm-up run of AllocsPerRun creates them.
func TestRecordingDoesNotAllocate(t *testing.T) {
	r := newRecorder(t)
	require.Zero(t, testing.AllocsPerRun(100, func() { recordOne(r) }))
}

func BenchmarkRecord(b *testing.B) {
	r := newRecorder(b)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			recordOne(r)
		}
	})
}
