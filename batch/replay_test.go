package batch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
)

// load is a pattern of arrivals at one stage service.
type load struct {
	seed uint64
	// perSecond is the rate of jobs at rest, burst its factor between the two
	// instants.
	perSecond, burst float64
	from, to         cicadapitch.Millis
	pieces           int
	// slow is the factor by which the first endpoint is slower.
	slow float64
	// down takes the first endpoint away between the two instants.
	down bool
}

type outcome struct{ jobs, inTime, late, refused, refusedSlowly int }

// replay plays a load on virtual time in steps of a millisecond.
func replay(l load, size int) outcome {
	const (
		length   = 20 * cicadapitch.Second
		aim      = 1200
		patience = 5000
	)
	s := spec()
	s.Size = size
	p := batch.NewPlanner(s)
	p.SetEndpoints(endpoints(4))
	r := rand.New(rand.NewPCG(l.seed, 1))
	type running struct {
		call batch.Call
		end  cicadapitch.Instant
	}
	var (
		out   outcome
		busy  []running
		born  = map[batch.JobID]cicadapitch.Instant{}
		next  = 1
		delay = map[cicadapitch.EndpointID]float64{"e0": max(l.slow, 1)}
	)
	for at := cicadapitch.Millis(0); at < length+patience; at++ {
		now := start.Add(at)
		rate := l.perSecond
		burst := at >= l.from && at < l.to
		if burst {
			rate *= l.burst
		}
		if at < length && r.Float64() < rate/1000 {
			born[batch.JobID(next)] = now
			p.Submit(now, batch.Job{
				ID: batch.JobID(next), Pieces: l.pieces, Key: fmt.Sprint(next), ResultBytes: 1000,
				Priority: r.IntN(3), Due: now.Add(aim), Expire: now.Add(patience),
			})
			next++
			out.jobs++
		}
		var still []running
		for _, b := range busy {
			switch {
			case l.down && burst && b.call.Endpoint.ID == "e0":
				p.Finish(now, b.call.ID, nil, batch.Broken)
			case b.end <= now:
				results := made(b.call)
				p.Finish(now, b.call.ID, results, batch.None)
				var handles []string
				for _, x := range results {
					handles = append(handles, x.Handle)
				}
				p.Freed(handles)
			default:
				still = append(still, b)
			}
		}
		busy = still
		calls, done, _, _ := p.Plan(now)
		for _, c := range calls {
			took := float64(c.Expected) * max(delay[c.Endpoint.ID], 1)
			busy = append(busy, running{c, now.Add(cicadapitch.Millis(took))})
		}
		for _, d := range done {
			took := now.Sub(born[d.Job])
			switch {
			case d.Handles == nil:
				out.refused++
				if took > aim {
					out.refusedSlowly++
				}
			case took <= aim:
				out.inTime++
			default:
				out.late++
			}
		}
	}
	return out
}

// TestBurstOfPieces replays a burst to twice the rate at rest, which full calls
// bear and single pieces do not.
func TestBurstOfPieces(t *testing.T) {
	for seed := range uint64(8) {
		l := load{seed: seed, perSecond: 30, burst: 2, from: 4000, to: 10_000, pieces: 1}
		got, single := replay(l, 8), replay(l, 1)
		require.Equal(t, got.jobs, got.inTime+got.late+got.refused, "each job ends once")
		require.GreaterOrEqual(t, float64(got.inTime), 0.95*float64(got.jobs), "seed %d: %+v", seed, got)
		require.Less(t, single.inTime, got.inTime/2, "calls of one piece: %+v", single)
	}
}

// TestBurstBeyondCapacity replays a burst to one and a half times what full calls
// bear. Those that are served come in time, the others are refused early.
func TestBurstBeyondCapacity(t *testing.T) {
	for seed := range uint64(8) {
		got := replay(load{seed: seed, perSecond: 20, burst: 2.7, from: 4000, to: 12_000, pieces: 2}, 8)
		require.GreaterOrEqual(t, float64(got.inTime), 0.5*float64(got.jobs), "seed %d: %+v", seed, got)
		require.LessOrEqual(t, float64(got.refusedSlowly), 0.1*float64(got.jobs), "seed %d: %+v", seed, got)
	}
}

// TestCrawlingEndpoint replays steady load with one endpoint of four at a quarter
// of its speed.
func TestCrawlingEndpoint(t *testing.T) {
	for seed := range uint64(8) {
		got := replay(load{seed: seed, perSecond: 30, burst: 1, pieces: 1, slow: 4}, 8)
		require.GreaterOrEqual(t, float64(got.inTime), 0.9*float64(got.jobs), "seed %d: %+v", seed, got)
	}
}

// TestEndpointDown replays a burst during which one endpoint of four breaks every
// call.
func TestEndpointDown(t *testing.T) {
	for seed := range uint64(8) {
		got := replay(load{seed: seed, perSecond: 30, burst: 1.3, from: 4000, to: 9000, pieces: 1, down: true}, 8)
		require.GreaterOrEqual(t, float64(got.inTime), 0.9*float64(got.jobs), "seed %d: %+v", seed, got)
	}
}
