package proof_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
)

// coldSlots is ColdSlots of the engines in the quickstart questionnaire: the number
// of runs that an engine can serve concurrently during a cold start.
const coldSlots = 1

// requireNoColdOverload checks on the engine stand-ins that no engine refused work
// as overloaded or ran more than coldSlots runs at once during a cold start.
func requireNoColdOverload(t *testing.T, f *fleet) {
	t.Helper()
	for id, e := range f.Engines {
		require.Zero(t, e.Overloads(), "overload refusals of %s", id)
		for _, r := range e.Runs() {
			if r.ColdAtStart {
				require.LessOrEqual(t, r.Concurrent, coldSlots, "%s: %+v", id, r)
			}
		}
	}
}

// TestColdEnginesAreNotOverloaded starts a high load at all hosts at once while
// every engine is in a cold start.
func TestColdEnginesAreNotOverloaded(t *testing.T) {
	f := newFleet(t)
	l := startLoad(f, 4*loadWorkers)
	f.awaitRuns(100)
	results := l.stop()
	requireCompleteAnswers(t, results)
	requireNoColdOverload(t, f)
	t.Logf("%d requests, %d failed", len(results), len(failedRequests(results)))
}

// awaitRuns waits until the engines have started n runs. It has no time limit of its
// own.
func (f *fleet) awaitRuns(n int) {
	clock := cicadapitch.NewSystemClock()
	for f.runs() < n {
		_ = clock.Sleep(f.t.Context(), 10)
	}
}

// runs returns the number of runs that the engines have started.
func (f *fleet) runs() int {
	n := 0
	for _, e := range f.Engines {
		n += len(e.Runs())
	}
	return n
}
