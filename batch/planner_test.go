package batch_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/catalog"
)

const start cicadapitch.Instant = 1_000_000

func spec() catalog.BatchSpec {
	return catalog.BatchSpec{
		Slots: 1, MaxQueuedCalls: 2, MaxPieces: 8, CallTime: 240, PieceTime: 26,
		ResultCapacity: 9_600_000, ResultTTL: 4000,
	}
}

func endpoints(n int) []catalog.Endpoint {
	var out []catalog.Endpoint
	for i := range n {
		out = append(out, catalog.Endpoint{
			ID: cicadapitch.EndpointID(fmt.Sprintf("e%d", i)), Service: "archive",
			Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: cicadapitch.ZoneID(fmt.Sprintf("z%d", i%2)),
		})
	}
	return out
}

func planner(n int) *batch.Planner {
	p := batch.NewPlanner(spec())
	p.SetEndpoints(endpoints(n))
	return p
}

func job(id, pieces int, due, expire cicadapitch.Millis) batch.Job {
	return batch.Job{
		ID: batch.JobID(id), Request: cicadapitch.RequestID(fmt.Sprint(id)), Pieces: pieces,
		Key: fmt.Sprintf("key%d", id), ResultBytes: 8000, DueAt: start.Add(due), ExpiresAt: start.Add(expire),
	}
}

func resultsOf(c batch.Call) []batch.PieceResult {
	out := make([]batch.PieceResult, len(c.Pieces))
	for i := range out {
		out[i].Handle = fmt.Sprintf("%s/%d-%d", c.Endpoint.Address, c.ID, i)
	}
	return out
}

func TestPiecesOfSeveralRequestsShareACall(t *testing.T) {
	p := planner(1)
	p.Submit(start, job(1, 1, 1000, 5000))
	first, _, _, _ := p.Plan(start)
	require.Len(t, first, 1)
	for i := 2; i <= 6; i++ {
		p.Submit(start.Add(10), job(i, 1, 1000, 5000))
	}
	none, _, _, _ := p.Plan(start.Add(10))
	require.Empty(t, none, "the endpoint runs one call at a time")
	p.FinishCall(start.Add(266), first[0].ID, resultsOf(first[0]), batch.NoFailure)
	second, done, _, _ := p.Plan(start.Add(266))
	require.Len(t, done, 1)
	require.Len(t, second, 1)
	require.Len(t, second[0].Pieces, 5)
}

func TestResultsKeepTheOrderOfTheirPieces(t *testing.T) {
	p := planner(2)
	p.Submit(start, job(1, 10, 2000, 9000))
	calls, _, _, _ := p.Plan(start)
	require.Len(t, calls, 2)
	want := make([]string, 10)
	for _, c := range calls {
		results := resultsOf(c)
		for i, ref := range c.Pieces {
			want[ref.Index] = results[i].Handle
		}
		p.FinishCall(start.Add(300), c.ID, results, batch.NoFailure)
	}
	_, done, _, _ := p.Plan(start.Add(300))
	require.Len(t, done, 1)
	require.Equal(t, want, done[0].Handles)
}

func TestJobThatCannotEndInTimeIsRefused(t *testing.T) {
	p := planner(1)
	for i := 1; i <= 40; i++ {
		p.Submit(start, job(i, 2, 60_000, 60_000))
	}
	p.Plan(start)
	p.Submit(start.Add(1), job(99, 1, 400, 800))
	_, done, _, _ := p.Plan(start.Add(1))
	require.Len(t, done, 1)
	require.Equal(t, batch.JobID(99), done[0].Job)
	require.Nil(t, done[0].Handles)
	require.Greater(t, done[0].RetryAfter, cicadapitch.Second, "80 pieces at 8 in 448 ms take seconds")
}

func TestLateJobsGoLastAndPreviouslyRefusedFirstAmongThem(t *testing.T) {
	p := planner(1)
	p.RecordRefusal(start.Add(-500), "key2")
	p.Submit(start, job(9, 1, 1000, 9000))
	busy, _, _, _ := p.Plan(start)
	now := start.Add(100)
	p.Submit(now, job(1, 4, 0, 9000))
	p.Submit(now, job(2, 4, 1500, 9000))
	p.Submit(now, job(3, 4, 1500, 9000))
	p.FinishCall(start.Add(266), busy[0].ID, resultsOf(busy[0]), batch.NoFailure)
	calls, _, _, _ := p.Plan(start.Add(266))
	require.Len(t, calls, 1)
	var order []batch.JobID
	for _, ref := range calls[0].Pieces {
		order = append(order, ref.Job.ID)
	}
	// Job 3 is on time, job 2 was refused before, job 1 is late and doesn't fit.
	require.Equal(t, []batch.JobID{3, 3, 3, 3, 2, 2, 2, 2}, order)
}

func TestResultMemoryStaysUsedUntilResultsAreFreed(t *testing.T) {
	p := planner(1)
	big := job(1, 8, 5000, 20_000)
	big.ResultBytes = 1_000_000
	p.Submit(start, big)
	calls, _, _, _ := p.Plan(start)
	require.Len(t, calls[0].Pieces, 8)
	results := resultsOf(calls[0])
	p.FinishCall(start.Add(448), calls[0].ID, results, batch.NoFailure)
	next := big
	next.ID = 2
	p.Submit(start.Add(448), next)
	calls, _, _, _ = p.Plan(start.Add(448))
	require.Empty(t, calls, "a call with few pieces waits for result memory")
	var handles []string
	for _, r := range results {
		handles = append(handles, r.Handle)
	}
	located, unknown := p.Locate(handles)
	require.Equal(t, map[cicadapitch.EndpointID][]string{"e0": handles}, located)
	require.Empty(t, unknown)
	p.RecordFreed(handles)
	calls, _, _, _ = p.Plan(start.Add(500))
	require.Len(t, calls[0].Pieces, 8)
}

func TestNoRoomRefusalPausesTheEndpoint(t *testing.T) {
	p := planner(1)
	j := job(1, 8, 5000, 20_000)
	j.ResultBytes = 1_000_000
	p.Submit(start, j)
	calls, _, _, _ := p.Plan(start)
	refused := make([]batch.PieceResult, 8)
	for i := range refused {
		refused[i].NoRoom = true
	}
	p.FinishCall(start.Add(240), calls[0].ID, refused, batch.NoFailure)
	for at := cicadapitch.Millis(240); at < 700; at += 20 {
		calls, _, _, _ = p.Plan(start.Add(at))
		require.Empty(t, calls, "no call at %d ms", at)
	}
	calls, _, _, _ = p.Plan(start.Add(1100))
	require.Len(t, calls, 1)
}

func TestFetchedResultsAreEvictedWhenMemoryRunsOut(t *testing.T) {
	p := planner(1)
	j := job(1, 8, 5000, 20_000)
	j.ResultBytes = 1_000_000
	p.Submit(start, j)
	calls, _, _, _ := p.Plan(start)
	results := resultsOf(calls[0])
	p.FinishCall(start.Add(448), calls[0].ID, results, batch.NoFailure)
	_, _, toFree, _ := p.Plan(start.Add(448))
	require.Empty(t, toFree)
	p.RecordFetched([]string{results[0].Handle, results[1].Handle})
	_, _, toFree, _ = p.Plan(start.Add(449))
	require.ElementsMatch(t, []string{results[0].Handle, results[1].Handle}, toFree)
}

func TestPiecesOfASlowEndpointAreHedged(t *testing.T) {
	p := planner(2)
	p.Submit(start, job(1, 8, 3000, 9000))
	first, _, _, _ := p.Plan(start)
	require.Len(t, first, 1)
	hedged, _, _, _ := p.Plan(start.Add(800))
	require.Len(t, hedged, 1, "448 ms were expected")
	require.NotEqual(t, first[0].Endpoint.ID, hedged[0].Endpoint.ID)
	p.FinishCall(start.Add(1248), hedged[0].ID, resultsOf(hedged[0]), batch.NoFailure)
	_, done, _, _ := p.Plan(start.Add(1248))
	require.Len(t, done, 1)
	duplicates := resultsOf(first[0])
	p.FinishCall(start.Add(1800), first[0].ID, duplicates, batch.NoFailure)
	_, done, toFree, _ := p.Plan(start.Add(1800))
	require.Empty(t, done)
	require.Len(t, toFree, 8, "duplicate results are freed")
}

func TestFailedCallIsRetriedAtAnotherEndpoint(t *testing.T) {
	p := planner(2)
	p.Submit(start, job(1, 2, 3000, 9000))
	first, _, _, _ := p.Plan(start)
	p.FinishCall(start.Add(5), first[0].ID, nil, batch.CallFailed)
	second, _, _, _ := p.Plan(start.Add(5))
	require.Len(t, second, 1)
	require.NotEqual(t, first[0].Endpoint.ID, second[0].Endpoint.ID)
}

func TestLostInputEndsTheJob(t *testing.T) {
	p := planner(1)
	p.Submit(start, job(1, 2, 3000, 9000))
	calls, _, _, _ := p.Plan(start)
	p.FinishCall(start.Add(300), calls[0].ID, []batch.PieceResult{{Handle: "h"}, {InputLost: true}}, batch.NoFailure)
	_, done, toFree, _ := p.Plan(start.Add(300))
	require.Len(t, done, 1)
	require.True(t, done[0].InputLost)
	require.Equal(t, []string{"h"}, toFree)
}

func TestCanceledJobIsNotSentAndItsResultsAreFreed(t *testing.T) {
	p := planner(1)
	p.Submit(start, job(1, 1, 3000, 9000))
	calls, _, _, _ := p.Plan(start)
	p.Submit(start, job(2, 1, 3000, 9000))
	p.Cancel(1)
	p.Cancel(2)
	p.FinishCall(start.Add(300), calls[0].ID, resultsOf(calls[0]), batch.NoFailure)
	next, done, toFree, _ := p.Plan(start.Add(300))
	require.Empty(t, next)
	require.Empty(t, done)
	require.Len(t, toFree, 1)
}

func TestHandOverEndsOnlyJobsWithoutRunningPieces(t *testing.T) {
	p := planner(1)
	p.Submit(start, job(1, 1, 3000, 9000))
	p.Plan(start)
	p.Submit(start, job(2, 1, 3000, 9000))
	ownerUnreachable := job(3, 1, 3000, 9000)
	ownerUnreachable.OwnerUnreachable = true
	p.Submit(start, ownerUnreachable)
	p.HandOver()
	_, done, _, _ := p.Plan(start.Add(1))
	require.Len(t, done, 1)
	require.Equal(t, batch.JobID(2), done[0].Job)
	require.True(t, done[0].OwnerChanged)
}

func TestLargeTransferWaitsForItsZoneWhileInTime(t *testing.T) {
	p := planner(2)
	j := job(1, 4, 3000, 9000)
	j.Zone, j.MoveBytes = "z1", 2_000_000
	p.Submit(start, j)
	calls, _, _, _ := p.Plan(start)
	require.Len(t, calls, 1)
	require.Equal(t, cicadapitch.ZoneID("z1"), calls[0].Endpoint.Zone)
	j.ID = 2
	p.Submit(start.Add(10), j)
	calls, _, _, _ = p.Plan(start.Add(10))
	require.Empty(t, calls, "the zone's endpoint will be free in time")
	urgent := j
	urgent.ID, urgent.DueAt = 3, start.Add(600)
	p.Submit(start.Add(10), urgent)
	calls, _, _, _ = p.Plan(start.Add(10))
	require.Len(t, calls, 1)
	require.Equal(t, batch.JobID(3), calls[0].Pieces[0].Job.ID)
}

// TestThirdEndpointIsTriedIfTheHedgeIsSilentToo guards against a job that is stuck
// after the first endpoint and the one that hedged it both stopped answering.
func TestThirdEndpointIsTriedIfTheHedgeIsSilentToo(t *testing.T) {
	p := planner(3)
	p.Submit(start, job(1, 8, 5000, 9000))
	seen := map[cicadapitch.EndpointID]bool{}
	for at := cicadapitch.Millis(0); at < 3000; at += 50 {
		calls, _, _, _ := p.Plan(start.Add(at))
		for _, c := range calls {
			seen[c.Endpoint.ID] = true
		}
	}
	require.Len(t, seen, 3)
}

// TestPlannerKeepsTheRateLimitOfAnEndpoint counts the calls of an endpoint that takes two
// calls a second, half of which are left for those that free results. The other endpoint
// takes the rest of the work.
func TestPlannerKeepsTheRateLimitOfAnEndpoint(t *testing.T) {
	p := planner(2)
	p.SetRateLimits(func(e catalog.Endpoint) (float64, bool) { return 2, e.ID == "e0" })
	calls := map[cicadapitch.EndpointID]int{}
	for at := cicadapitch.Millis(0); at < 8000; at += 20 {
		now := start.Add(at)
		if at%100 == 0 {
			p.Submit(now, job(int(at)+1, 1, at+1000, at+3000))
		}
		started, _, _, _ := p.Plan(now)
		for _, c := range started {
			calls[c.Endpoint.ID]++
			p.FinishCall(now.Add(10), c.ID, resultsOf(c), batch.NoFailure)
		}
	}
	require.LessOrEqual(t, calls["e0"], 9)
	require.Positive(t, calls["e0"])
	require.Greater(t, calls["e1"], 60)
	interval, ok := p.FreeInterval("e0")
	require.True(t, ok)
	require.Greater(t, interval, cicadapitch.Second)
	p.SetRateLimits(func(e catalog.Endpoint) (float64, bool) { return 0, e.ID == "e0" })
	_, ok = p.FreeInterval("e0")
	require.False(t, ok)
}

// TestStreamsTakenUpAgainPrecedeNewWork fills the queue with work on time. A job of a stream
// that its caller takes up again must not be refused, and must be in the first call.
func TestStreamsTakenUpAgainPrecedeNewWork(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		p := planner(1)
		for i := range 40 {
			p.Submit(start, batch.Job{ID: batch.JobID(i + 1), Request: "new", Pieces: 8, Key: "k", DueAt: start.Add(20_000), ExpiresAt: start.Add(30_000)})
		}
		p.Submit(start, batch.Job{ID: 100, Request: "taken-up", Pieces: 1, Key: "t", Resumed: resumed, DueAt: start, ExpiresAt: start.Add(2_000)})
		calls, outcomes, _, _ := p.Plan(start)
		if !resumed {
			require.Len(t, outcomes, 1, "the queue is longer than the request's time")
			continue
		}
		require.Empty(t, outcomes)
		require.Len(t, calls, 1)
		require.Equal(t, batch.JobID(100), calls[0].Pieces[0].Job.ID)
	}
}

// TestStreamsTakenUpAgainAreNotHeldBack guards against a call that waits for more pieces, to
// spread the starts of calls, while it carries a job of a stream that is taken up again.
func TestStreamsTakenUpAgainAreNotHeldBack(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		p := planner(2)
		p.Submit(start, job(1, 8, 3000, 9000))
		busy, _, _, _ := p.Plan(start)
		require.Len(t, busy, 1)
		j := job(2, 2, 3000, 9000)
		j.Resumed = resumed
		p.Submit(start.Add(10), j)
		calls, _, _, _ := p.Plan(start.Add(10))
		if !resumed {
			require.Empty(t, calls, "the call waits for more pieces")
			continue
		}
		require.Len(t, calls, 1)
		require.Equal(t, batch.JobID(2), calls[0].Pieces[0].Job.ID)
	}
}

// TestStreamsTakenUpTogetherShareTheFreeEndpoints guards against streams that are taken up
// again after the end of a host, of which the first few take an endpoint each and all others wait.
func TestStreamsTakenUpTogetherShareTheFreeEndpoints(t *testing.T) {
	p := planner(4)
	started := map[cicadapitch.EndpointID]int{}
	for at := range cicadapitch.Millis(20) {
		if at < 8 {
			j := job(int(at)+1, 1, 3000, 9000)
			j.Resumed = true
			p.Submit(start.Add(at), j)
		}
		calls, _, _, _ := p.Plan(start.Add(at))
		for _, c := range calls {
			started[c.Endpoint.ID] += len(c.Pieces)
		}
	}
	require.Equal(t, map[cicadapitch.EndpointID]int{"e0": 2, "e1": 2, "e2": 2, "e3": 2}, started)
}

// TestStreamsTakenUpAgainDoNotWaitForOtherPieces guards against a call for a stream that is taken
// up again which is filled with other work and so takes longer.
func TestStreamsTakenUpAgainDoNotWaitForOtherPieces(t *testing.T) {
	p := planner(1)
	p.Submit(start, job(1, 6, 3000, 9000))
	for id := 2; id <= 3; id++ {
		j := job(id, 1, 3000, 9000)
		j.Resumed = true
		p.Submit(start, j)
	}
	calls, _, _, _ := p.Plan(start)
	require.Len(t, calls, 1)
	require.Len(t, calls[0].Pieces, 2)
	for _, ref := range calls[0].Pieces {
		require.True(t, ref.Job.Resumed)
	}
	p.FinishCall(start.Add(292), calls[0].ID, resultsOf(calls[0]), batch.NoFailure)
	calls, _, _, _ = p.Plan(start.Add(292))
	require.Len(t, calls, 1)
	require.Len(t, calls[0].Pieces, 6)
}

// TestStreamsTakenUpAgainDoNotWaitForTheirZone guards against a stream that is taken up again and
// waits for an endpoint in the zone of its inputs.
func TestStreamsTakenUpAgainDoNotWaitForTheirZone(t *testing.T) {
	p := planner(2)
	j := job(1, 4, 3000, 9000)
	j.Zone, j.MoveBytes, j.Resumed = "z1", 2_000_000, true
	p.Submit(start, j)
	p.Plan(start)
	calls, _, _, _ := p.Plan(start.Add(15))
	require.Len(t, calls, 1)
	j.ID = 2
	p.Submit(start.Add(20), j)
	calls, _, _, _ = p.Plan(start.Add(20))
	require.Len(t, calls, 1)
	require.Equal(t, batch.JobID(2), calls[0].Pieces[0].Job.ID)
}

// TestStreamsTakenUpAgainUseSlowEndpoints guards against a stream that is taken up again and gets
// no call although it can no longer meet its objective, while all endpoints are slow.
func TestStreamsTakenUpAgainUseSlowEndpoints(t *testing.T) {
	for _, resumed := range []bool{false, true} {
		p := planner(1)
		p.Submit(start, job(1, 1, 3000, 9000))
		calls, _, _, _ := p.Plan(start)
		p.Plan(start.Add(1000)) // the call is overdue
		p.FinishCall(start.Add(1200), calls[0].ID, resultsOf(calls[0]), batch.NoFailure)
		p.Plan(start.Add(1200))
		j := job(2, 1, 1000, 9000)
		j.Resumed = resumed
		p.Submit(start.Add(1210), j)
		calls, _, _, _ = p.Plan(start.Add(1210))
		require.Len(t, calls, 1, "resumed: %t", resumed)
	}
}
