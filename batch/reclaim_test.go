package batch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/batch"
)

// TestStreamsTakenUpAgainGetTheMemoryOfUnfinishedJobs guards against a stream that is taken up again
// and waits for result memory, while jobs that lack it too hold what they have made.
func TestStreamsTakenUpAgainGetTheMemoryOfUnfinishedJobs(t *testing.T) {
	p := planner(1)
	large := job(1, 8, 60_000, 60_000)
	large.ResultBytes = 1_600_000
	p.Submit(start, large)
	calls, _, _, _ := p.Plan(start)
	require.Len(t, calls, 1)
	require.Len(t, calls[0].Pieces, 5)
	p.FinishCall(start.Add(300), calls[0].ID, resultsOf(calls[0]), batch.NoFailure)
	p.Plan(start.Add(300))
	resumed := job(2, 2, 60_000, 60_000)
	resumed.ResultBytes, resumed.Resumed = 1_600_000, true
	p.Submit(start.Add(310), resumed)
	_, _, toFree, _ := p.Plan(start.Add(310))
	require.Len(t, toFree, 5)
	_, _, again, _ := p.Plan(start.Add(320))
	require.Empty(t, again)
	p.RecordFreed(toFree)
	calls, _, _, _ = p.Plan(start.Add(330))
	require.Len(t, calls, 1)
	require.Len(t, calls[0].Pieces, 2)
	require.True(t, calls[0].Pieces[0].Job.Resumed)
	results := resultsOf(calls[0])
	p.FinishCall(start.Add(630), calls[0].ID, results, batch.NoFailure)
	p.RecordFreed([]string{results[0].Handle, results[1].Handle})
	made := 0
	for at := start.Add(700); made < 8 && at < start.Add(9000); at = at.Add(400) {
		calls, outcomes, toFree, _ := p.Plan(at)
		require.Empty(t, toFree)
		for _, o := range outcomes {
			require.Equal(t, batch.JobID(2), o.Job)
		}
		for _, c := range calls {
			made += len(c.Pieces)
			p.FinishCall(at.Add(300), c.ID, resultsOf(c), batch.NoFailure)
			p.RecordFreed([]string{resultsOf(c)[0].Handle})
		}
	}
	require.Equal(t, 8, made, "all pieces of the other job run once more")
}
