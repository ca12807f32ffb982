package endpoint_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
)

func discard(cicadapitch.Chunk) {}

func TestFailedNonIdempotentCallHasUnknownOutcome(t *testing.T) {
	d := newFakeDriver()
	d.answer = func(context.Context, cicadapitch.Call, func(string)) (cicadapitch.CallResult, error) {
		return cicadapitch.CallResult{}, errors.New("connection reset")
	}
	o := newOwner(t, d, testConfiguration(2, 2, 4), ownsAll)
	a := testAttempt("r1")
	_, err := o.Run(t.Context(), a, discard)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	_, err = o.Run(t.Context(), a, discard)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.Equal(t, 1, d.count(a.ID))
	require.Equal(t, cicadapitch.Failed, o.Outcome(a.ID).Phase)
}

// A pool that recognises repeats gets the same call again, at the same endpoint
// and with the same attempt id.
func TestLostAnswerIsRepeatedAtTheSameEndpoint(t *testing.T) {
	d := newFakeDriver()
	var mu sync.Mutex
	var calls []cicadapitch.Call
	d.answer = func(_ context.Context, c cicadapitch.Call, _ func(string)) (cicadapitch.CallResult, error) {
		mu.Lock()
		defer mu.Unlock()
		calls = append(calls, c)
		if len(calls) == 1 {
			return cicadapitch.CallResult{}, cicadapitch.NewOutcomeUnknown("connection reset")
		}
		return cicadapitch.CallResult{Output: "booked"}, nil
	}
	cfg := testConfiguration(3, 2, 4)
	cfg.Pools[0].RecognisesRepeats = true
	res, err := newOwner(t, d, cfg, ownsAll).Run(t.Context(), testAttempt("r1"), discard)
	require.NoError(t, err)
	require.Equal(t, "booked", res.Output)
	require.Len(t, calls, 2)
	require.Equal(t, calls[0].Endpoint, calls[1].Endpoint)
	require.Equal(t, calls[0].Attempt, calls[1].Attempt)
}

func TestRefusedRepeatLeavesTheOutcomeUnknown(t *testing.T) {
	d := newFakeDriver()
	var calls atomic.Int64
	d.answer = func(context.Context, cicadapitch.Call, func(string)) (cicadapitch.CallResult, error) {
		if calls.Add(1) == 1 {
			return cicadapitch.CallResult{}, cicadapitch.NewOutcomeUnknown("connection reset")
		}
		return cicadapitch.CallResult{}, cicadapitch.NewNotRun("connection refused", 1)
	}
	cfg := testConfiguration(1, 2, 4)
	cfg.Pools[0].RecognisesRepeats = true
	_, err := newOwner(t, d, cfg, ownsAll).Run(t.Context(), testAttempt("r1"), discard)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
}

func TestCanceledNonIdempotentCallRunsToItsEnd(t *testing.T) {
	d := newFakeDriver()
	started, release := make(chan struct{}), make(chan struct{})
	d.answer = func(ctx context.Context, _ cicadapitch.Call, _ func(string)) (cicadapitch.CallResult, error) {
		close(started)
		<-release
		return cicadapitch.CallResult{Output: "booked"}, ctx.Err()
	}
	o := newOwner(t, d, testConfiguration(1, 2, 4), ownsAll)
	ctx, cancel := context.WithCancel(t.Context())
	a := testAttempt("r1")
	go func() {
		<-started
		cancel()
	}()
	_, err := o.Run(ctx, a, discard)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.Equal(t, cicadapitch.Running, o.Outcome(a.ID).Phase)
	close(release)
	require.NoError(t, o.Drain(t.Context()))
	require.Equal(t, cicadapitch.Done, o.Outcome(a.ID).Phase)
}

// The shard is lost while the attempt waits for its call. The attempt must be
// redirected and must not run.
func TestOwnershipIsCheckedRightBeforeTheCall(t *testing.T) {
	d := newFakeDriver()
	var fencingCalls atomic.Int64
	// The first call of fencingOf comes when the attempt arrives, the second right
	// before the call to the endpoint.
	fencingOf := func(cicadapitch.ShardID) (cicadapitch.FencingNumber, bool) { return 1, fencingCalls.Add(1) == 1 }
	o := newOwner(t, d, testConfiguration(1, 2, 4), fencingOf)
	a := testAttempt("r1")
	_, err := o.Run(t.Context(), a, discard)
	require.Equal(t, cicadapitch.Redirected, cicadapitch.KindOf(err))
	require.Zero(t, d.count(a.ID))
	require.Equal(t, cicadapitch.Refused, o.Outcome(a.ID).Phase)
}

func TestLostShardRedirectsWaitingAttempts(t *testing.T) {
	d := newFakeDriver()
	started, release := make(chan struct{}), make(chan struct{})
	d.answer = func(context.Context, cicadapitch.Call, func(string)) (cicadapitch.CallResult, error) {
		close(started)
		<-release
		return cicadapitch.CallResult{Output: "x"}, nil
	}
	o := newOwner(t, d, testConfiguration(1, 1, 1), ownsAll)
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { _, err := o.Run(t.Context(), testAttempt("r1"), discard); first <- err }()
	<-started
	go func() { _, err := o.Run(t.Context(), testAttempt("r2"), discard); second <- err }()
	require.Eventually(t, func() bool { return o.Load("sh").Queued == 1 }, 10*time.Second, time.Millisecond)
	o.RemoveShard("sh")
	require.Equal(t, cicadapitch.Redirected, cicadapitch.KindOf(<-second))
	close(release)
	require.NoError(t, <-first, "the running call continues")
}

func TestDrainRejectsNewAttempts(t *testing.T) {
	d := newFakeDriver()
	o := newOwner(t, d, testConfiguration(1, 1, 1), ownsAll)
	require.NoError(t, o.Drain(t.Context()))
	a := testAttempt("r1")
	_, err := o.Run(t.Context(), a, discard)
	require.Equal(t, cicadapitch.Redirected, cicadapitch.KindOf(err))
	require.Zero(t, d.count(a.ID))
}

func TestAttemptDoesNotRunAgainAfterItsResultIsEvicted(t *testing.T) {
	d := newFakeDriver()
	o := newOwner(t, d, testConfiguration(1, 1, 1), ownsAll, endpoint.WithRetention(0, cicadapitch.Minute))
	a := testAttempt("r1")
	_, err := o.Run(t.Context(), a, discard)
	require.NoError(t, err)
	state := o.Outcome(a.ID)
	require.Equal(t, cicadapitch.OutcomeUnknown, state.Error.Kind)
	_, err = o.Run(t.Context(), a, discard)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.Equal(t, 1, d.count(a.ID))
}

// TestAttemptsTakeEffectAtMostOnceUnderFaults runs attempts under random call
// failures, timeouts, outcome queries and losses of the shard. Each attempt must
// take effect at most once, and an attempt that ended as NotRun or Redirected
// must not have taken effect at all.
func TestAttemptsTakeEffectAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		d := newFakeDriver()
		var effects sync.Map
		d.answer = faultyAnswers(seed, &effects)
		var lost atomic.Bool
		fencingOf := func(cicadapitch.ShardID) (cicadapitch.FencingNumber, bool) { return 1, !lost.Load() }
		o := newOwner(t, d, testConfiguration(3, 2, 4), fencingOf)
		var wg sync.WaitGroup
		for n := range 30 {
			a := testAttempt(fmt.Sprint(n % 20))
			a.Idempotent = false
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rng.IntN(8000))*time.Microsecond+time.Millisecond)
				defer cancel()
				if rng.IntN(6) == 0 {
					o.Outcome(a.ID)
				}
				_, err := o.Run(ctx, a, discard)
				kind := cicadapitch.KindOf(err)
				if err != nil && (kind == cicadapitch.NotRun || kind == cicadapitch.Redirected) && effectsOf(&effects, a.ID) > 0 {
					t.Errorf("%v ended with %v, but its call took effect", a.ID, err)
				}
			})
			if n == 20 {
				lost.Store(seed%2 == 0)
				o.RemoveShard("sh")
			}
		}
		wg.Wait()
		if err := o.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		for n := range 20 {
			if id := testAttempt(fmt.Sprint(n)).ID; effectsOf(&effects, id) > 1 {
				t.Errorf("%v took effect %d times", id, effectsOf(&effects, id))
			}
		}
	})
}

// faultyAnswers returns an answer function that succeeds, declines or fails at
// random and counts in effects the calls that took effect.
func faultyAnswers(seed uint64, effects *sync.Map) func(context.Context, cicadapitch.Call, func(string)) (cicadapitch.CallResult, error) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, seed))
	return func(_ context.Context, c cicadapitch.Call, _ func(string)) (cicadapitch.CallResult, error) {
		mu.Lock()
		draw, delay := rng.IntN(10), rng.IntN(2000)
		mu.Unlock()
		if draw < 3 {
			return cicadapitch.CallResult{}, cicadapitch.NewNotRun("overloaded", 1)
		}
		n, _ := effects.LoadOrStore(c.Attempt, new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
		time.Sleep(time.Duration(delay) * time.Microsecond)
		if draw < 5 {
			return cicadapitch.CallResult{}, errors.New("connection reset")
		}
		return cicadapitch.CallResult{Output: "done"}, nil
	}
}

// effectsOf returns the number of calls of an attempt that took effect.
func effectsOf(effects *sync.Map, id cicadapitch.AttemptID) int64 {
	n, ok := effects.Load(id)
	if !ok {
		return 0
	}
	return n.(*atomic.Int64).Load()
}
