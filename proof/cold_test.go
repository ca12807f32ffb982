package proof_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
)

// coldSlots is what an engine of the quickstart bears in a cold start.
const coldSlots = 1

// requireNoColdOverload checks, at the engines, that none was given more work
// in a cold start than it bears.
func requireNoColdOverload(t *testing.T, f *fleet) {
	t.Helper()
	for id, e := range f.Engines {
		require.Zero(t, e.Overloads(), "refusals of %s", id)
		for _, r := range e.Runs() {
			if r.ColdAtStart {
				require.LessOrEqual(t, r.Concurrent, coldSlots, "%s: %+v", id, r)
			}
		}
	}
}

// TestColdEnginesGetWhatTheyBear starts a load at all hosts at once while every
// engine is in a cold start.
func TestColdEnginesGetWhatTheyBear(t *testing.T) {
	f := newFleet(t)
	l := startLoad(f, 4*loadWorkers)
	f.awaitRuns(100)
	all := l.stop()
	requireWhole(t, all)
	requireNoColdOverload(t, f)
	t.Logf("%d requests, %d failed", len(all), len(failures(all)))
}

// awaitRuns waits until the engines have started n runs.
func (f *fleet) awaitRuns(n int) {
	clock := cicadapitch.NewSystemClock()
	for f.runs() < n {
		_ = clock.Sleep(f.t.Context(), 10)
	}
}

func (f *fleet) runs() int {
	n := 0
	for _, e := range f.Engines {
		n += len(e.Runs())
	}
	return n
}
