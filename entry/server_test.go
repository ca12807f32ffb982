package entry_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"github.com/stretchr/testify/require"
)

func draft() cicadapitch.Request {
	return cicadapitch.Request{Customer: "club", Pipeline: "draft", Input: "x"}
}

// blockStage blocks the attempts of a stage, whatever their context, until release
// is closed.
func blockStage(stage cicadapitch.StageID, release <-chan struct{}) attemptFunc {
	return func(_ context.Context, a cicadapitch.Attempt, _ func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
		if a.ID.Stage == stage {
			<-release
		}
		return cicadapitch.StageResult{}, false, nil
	}
}

func TestRequestEndsAtDeadlineIfRunnerBlocks(t *testing.T) {
	for _, pipeline := range []cicadapitch.PipelineID{"draft", "reserve"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			release := make(chan struct{})
			defer close(release)
			f.runner = newFakeRunner(blockStage("encode", release))
			s := f.newServer()
			start := f.clock.Now()
			req := draft()
			req.Pipeline, req.Deadline, req.Token = pipeline, 700, f.minter.Mint("club")
			_, err := s.Serve(context.Background(), req, nil)
			require.Equal(t, cicadapitch.DeadlineExceeded, cicadapitch.KindOf(err))
			require.Positive(t, cicadapitch.AsError(err).RetryAfter)
			require.Equal(t, cicadapitch.Millis(700), f.clock.Now().Sub(start))
		})
	}
}

func TestSlowAttemptIsHedgedAtAnotherShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		release := make(chan struct{})
		defer close(release)
		var first atomic.Bool
		var mu sync.Mutex
		var shards []cicadapitch.ShardID
		f.runner = newFakeRunner(func(_ context.Context, a cicadapitch.Attempt, _ func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
			if a.ID.Stage != "encode" {
				return cicadapitch.StageResult{}, false, nil
			}
			mu.Lock()
			shards = append(shards, a.Shard)
			mu.Unlock()
			if first.CompareAndSwap(false, true) {
				<-release
			}
			return cicadapitch.StageResult{}, false, nil
		})
		metrics := &metricsCounter{drops: make(map[entry.DropReason]int)}
		start := f.clock.Now()
		owners := fixedLoad{f, cicadapitch.ShardLoad{Free: 10, Total: 10, ServiceMillis: 10}}
		s := entry.NewServer(f, f, owners, f.runner, f.clock, entry.WithMetrics(metrics), entry.WithSeed(1))
		_, err := s.Serve(context.Background(), draft(), nil)
		require.NoError(t, err)
		require.Less(t, f.clock.Now().Sub(start), cicadapitch.Second)
		require.Equal(t, 1, metrics.hedges)
		require.Len(t, shards, 2)
		require.NotEqual(t, shards[0], shards[1])
	})
}

func TestRetryBudgetLimitsAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		var attempts atomic.Int64
		f.runner = newFakeRunner(func(context.Context, cicadapitch.Attempt, func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
			attempts.Add(1)
			return cicadapitch.StageResult{}, true, cicadapitch.NewOutcomeUnknown("the endpoint fails")
		})
		const requests, saved = 1000, 20
		s := f.newServer(entry.WithRetryBudget(0.1, saved))
		var wg sync.WaitGroup
		for range requests {
			wg.Go(func() { _, _ = s.Serve(context.Background(), draft(), nil) })
		}
		wg.Wait()
		require.LessOrEqual(t, attempts.Load(), int64(requests*11/10+saved))
		require.Greater(t, attempts.Load(), int64(requests))
	})
}

// fixedLoad is a fixture that reports the same load for each shard.
type fixedLoad struct {
	*fixture
	load cicadapitch.ShardLoad
}

func (l fixedLoad) Load(cicadapitch.ShardID) (cicadapitch.ShardLoad, bool) { return l.load, true }

// newRefusingRunner returns a runner whose shard owners refuse the work of one
// customer at the stage generate for lack of capacity.
func newRefusingRunner(customer cicadapitch.CustomerID) *fakeRunner {
	return newFakeRunner(func(_ context.Context, a cicadapitch.Attempt, _ func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
		if a.Customer != customer || a.ID.Stage != "generate" {
			return cicadapitch.StageResult{}, false, nil
		}
		e := cicadapitch.NewNotRun("no room", 500)
		e.Contended = true
		return cicadapitch.StageResult{}, true, e
	})
}

// TestRequestThatCannotMeetDeadlineIsRefusedBeforeFirstStage serves
// a customer whose own work was recently refused at a stage, while the queues are too
// long for the deadline of its next request. That request must be refused with NotRun
// at once, and no stage may start.
func TestRequestThatCannotMeetDeadlineIsRefusedBeforeFirstStage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.runner = newRefusingRunner("club")
		owners := fixedLoad{f, cicadapitch.ShardLoad{Total: 2, Queued: 100, ServiceMillis: 100}}
		s := entry.NewServer(f, f, owners, f.runner, f.clock, entry.WithMinter(f.minter))
		_, err := s.Serve(context.Background(), draft(), nil)
		require.Error(t, err)
		started := f.runner.(*fakeRunner).starts("encode")
		start := f.clock.Now()
		req := draft()
		req.Deadline = 5000
		_, err = s.Serve(context.Background(), req, nil)
		require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
		require.Positive(t, cicadapitch.AsError(err).RetryAfter)
		require.Equal(t, start, f.clock.Now())
		require.Equal(t, started, f.runner.(*fakeRunner).starts("encode"))
	})
}

// TestQueuesOfOtherCustomersDoNotRefuseRequests serves another customer with the
// same queues. Its requests must be admitted, because the fair shares at the shard
// owner decide on its work.
func TestQueuesOfOtherCustomersDoNotRefuseRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.runner = newRefusingRunner("club")
		owners := fixedLoad{f, cicadapitch.ShardLoad{Total: 2, Queued: 100, ServiceMillis: 100}}
		s := entry.NewServer(f, f, owners, f.runner, f.clock, entry.WithMinter(f.minter))
		_, err := s.Serve(context.Background(), draft(), nil)
		require.Error(t, err)
		req := draft()
		req.Customer, req.Deadline = "other", 5000
		_, err = s.Serve(context.Background(), req, nil)
		require.NoError(t, err)
	})
}

// TestThrottledCustomerIsRefusedBeforeFirstStage keeps sending requests of a
// customer whose work is refused at the second stage. Most of them must not run the
// first stage.
func TestThrottledCustomerIsRefusedBeforeFirstStage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.runner = newRefusingRunner("club")
		s := f.newServer()
		const requests = 200
		for range requests {
			_, err := s.Serve(context.Background(), draft(), nil)
			require.Error(t, err)
		}
		require.Less(t, f.runner.(*fakeRunner).starts("encode"), requests/2)
	})
}

func TestZoneOutOfServiceGetsNoFurtherStage(t *testing.T) {
	f := newFixture()
	var mu sync.Mutex
	startsByShard := make(map[cicadapitch.ShardID]int)
	f.runner = newFakeRunner(func(_ context.Context, a cicadapitch.Attempt, _ func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
		mu.Lock()
		defer mu.Unlock()
		startsByShard[a.Shard]++
		next := testConfiguration()
		next.Revision = 2
		next.Zones[0].Out = true
		f.cfg = next
		return cicadapitch.StageResult{}, false, nil
	})
	s := f.newServer()
	for range 50 {
		_, err := s.Serve(context.Background(), draft(), nil)
		require.NoError(t, err)
	}
	require.Zero(t, startsByShard["engines-z1"])
	require.Equal(t, 50, startsByShard["engines-z2"])
}

// TestUnusableRedirectsLeadToAnotherShard has each attempt at the nearest shard of a
// pool redirected to an unnamed host or back to this one, while the shard's load
// shows free slots. The stage must move to another shard instead of following such
// redirects until its attempts are used up.
func TestUnusableRedirectsLeadToAnotherShard(t *testing.T) {
	for _, owner := range []cicadapitch.HostID{"", "h1"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			redirects := 0
			f.runner = newFakeRunner(func(_ context.Context, a cicadapitch.Attempt, _ func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
				if a.Shard != "encoders-z1" {
					return cicadapitch.StageResult{}, false, nil
				}
				redirects++
				return cicadapitch.StageResult{}, true, &cicadapitch.Error{Kind: cicadapitch.Redirected, Reason: "moved", Owner: owner}
			})
			owners := fixedLoad{f, cicadapitch.ShardLoad{Free: 10, Total: 10, ServiceMillis: 10}}
			s := entry.NewServer(f, f, owners, f.runner, f.clock, entry.WithSeed(1))
			_, err := s.Serve(context.Background(), draft(), nil)
			require.NoError(t, err)
			require.LessOrEqual(t, redirects, 2)
			require.Positive(t, redirects)
		})
	}
}

func TestDrainFinishesRunningRequestsAndRefusesNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		release := make(chan struct{})
		f.runner = newFakeRunner(blockStage("generate", release))
		s := f.newServer()
		served := make(chan error, 1)
		go func() {
			_, err := s.Serve(context.Background(), draft(), nil)
			served <- err
		}()
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(context.Background()) }()
		synctest.Wait()
		for _, p := range []cicadapitch.PipelineID{"draft", "reserve"} {
			req := draft()
			req.Pipeline, req.Token = p, f.minter.Mint("club")
			_, err := s.Serve(context.Background(), req, nil)
			require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
			require.Positive(t, cicadapitch.AsError(err).RetryAfter)
		}
		require.Empty(t, drained)
		require.Equal(t, 1, s.Running())
		close(release)
		require.NoError(t, <-served)
		require.NoError(t, <-drained)
	})
}
