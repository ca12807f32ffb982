package batch_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
)

// TestInputsAreNotFreedWhileACallMayWaitForThoseOfAnEarlierOwner guards against inputs that are
// freed before the endpoint has fetched them. A new owner does not know the calls of the one before
// it, which the endpoint ends first.
func TestInputsAreNotFreedWhileACallMayWaitForThoseOfAnEarlierOwner(t *testing.T) {
	p := planner(1)
	run := func(id int, at, took cicadapitch.Millis) map[batch.Shard][]string {
		j := job(id, 1, 20_000, 30_000)
		j.Inputs, j.InputShards = []string{"10.0.1.1:80/in"}, []batch.Shard{{Service: "before"}}
		p.Submit(start.Add(at), j)
		calls, _, _, _ := p.Plan(start.Add(at))
		require.Len(t, calls, 1)
		fetched := p.FetchedInputs(calls[0].ID)
		p.FinishCall(start.Add(at+took), calls[0].ID, resultsOf(calls[0]), batch.NoFailure)
		p.Plan(start.Add(at + took))
		return fetched
	}
	require.Empty(t, run(1, 0, 266), "the first call may wait")
	require.NotEmpty(t, run(2, 300, 270), "the one before ended in time")
	require.NotEmpty(t, run(3, 600, 600))
	require.Empty(t, run(4, 1250, 266), "the one before took twice its time")
	require.NotEmpty(t, run(5, 1600, 266))
	require.Empty(t, run(6, 9000, 266), "another owner may have come and gone")
}

// TestInputsAreNotFreedWhileResultMemoryIsShort guards against inputs that are freed although their
// call gets no memory for some of its results, so that these pieces have to run again.
func TestInputsAreNotFreedWhileResultMemoryIsShort(t *testing.T) {
	p := planner(1)
	run := func(id int, at cicadapitch.Millis, noRoom bool) map[batch.Shard][]string {
		j := job(id, 1, 20_000, 30_000)
		j.Inputs, j.InputShards = []string{"10.0.1.1:80/in"}, []batch.Shard{{Service: "before"}}
		p.Submit(start.Add(at), j)
		calls, _, _, _ := p.Plan(start.Add(at))
		require.Len(t, calls, 1)
		fetched := p.FetchedInputs(calls[0].ID)
		results := resultsOf(calls[0])
		if noRoom {
			results = []batch.PieceResult{{NoRoom: true}}
		}
		p.FinishCall(start.Add(at+266), calls[0].ID, results, batch.NoFailure)
		p.Cancel(batch.JobID(id))
		return fetched
	}
	run(1, 0, false)
	require.NotEmpty(t, run(2, 300, false))
	run(3, 600, true) // ends at 866
	run(4, 1700, false)
	require.Empty(t, run(5, 2000, false), "memory was short 1,134 ms ago")
	require.NotEmpty(t, run(6, 2300, false), "others have freed their results")
}
