package idempotency_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func tokenKey(i int) idempotency.Key {
	return idempotency.Key{Customer: "club", Token: cicadapitch.Token(strconv.Itoa(i))}
}

func TestBeginReturnsFirstOnce(t *testing.T) {
	l := idempotency.NewLedger(cicadapitch.NewManualClock(0), 1)
	var firsts atomic.Int64
	var wg sync.WaitGroup
	for range 64 {
		wg.Go(func() {
			e, first, err := l.Begin(tokenKey(1), 0)
			if err == nil && first {
				firsts.Add(1)
				e.Finish(cicadapitch.Answer{Output: "done"}, nil)
			}
			a, err := e.Wait(context.Background())
			if err != nil || a.Output != "done" {
				t.Errorf("answer %q, error %v", a.Output, err)
			}
		})
	}
	wg.Wait()
	require.Equal(t, int64(1), firsts.Load())
}

// A ledger that removes entries, or drops their answers, must not let a token
// run twice. The test draws sequences of arrivals, ends and waits against small
// limits.
func TestRemovedEntryNeverRunsAgain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := cicadapitch.NewManualClock(1000)
		l := idempotency.NewLedger(clock, 1, idempotency.WithLimits(idempotency.Limits{Retention: 100, Bytes: 640, Entries: 128}))
		const tokens = 8
		minted := make(map[int]cicadapitch.Instant)
		runs := make(map[int]int)
		running := make(map[int]*idempotency.Entry)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive": func(rt *rapid.T) {
				i := rapid.IntRange(0, tokens-1).Draw(rt, "token")
				if _, ok := minted[i]; !ok {
					minted[i] = clock.Now()
				}
				e, first, err := l.Begin(tokenKey(i), minted[i])
				if err != nil {
					kind := cicadapitch.KindOf(err)
					if kind != cicadapitch.OutcomeUnknown || clock.Now().Sub(minted[i]) <= 100 {
						rt.Fatalf("refused with %v", err)
					}
				}
				if first {
					runs[i]++
					running[i] = e
				}
			},
			"end": func(rt *rapid.T) {
				i := rapid.IntRange(0, tokens-1).Draw(rt, "token")
				if e := running[i]; e != nil {
					delete(running, i)
					e.Finish(cicadapitch.Answer{Output: strings.Repeat("x", 8)}, nil)
				}
			},
			"refuse": func(rt *rapid.T) {
				i := rapid.IntRange(0, tokens-1).Draw(rt, "token")
				if e := running[i]; e != nil {
					delete(running, i)
					e.Finish(cicadapitch.Answer{}, cicadapitch.NewNotRun("no", 1))
				}
			},
			"wait": func(rt *rapid.T) {
				clock.Advance(cicadapitch.Millis(rapid.IntRange(1, 80).Draw(rt, "millis")))
			},
			"": func(rt *rapid.T) {
				for i, n := range runs {
					if n > 1 {
						rt.Fatalf("token %d began %d times", i, n)
					}
				}
			},
		})
	})
}

func TestKeptAnswersAreBounded(t *testing.T) {
	clock := cicadapitch.NewManualClock(0)
	l := idempotency.NewLedger(clock, 1, idempotency.WithLimits(idempotency.Limits{Retention: 100, Bytes: 64 * 100, Entries: 64 * 64}))
	dropped, kept := 0, 0
	for i := range 1000 {
		e, first, err := l.Begin(tokenKey(i), 0)
		require.NoError(t, err)
		require.True(t, first)
		e.Finish(cicadapitch.Answer{Output: strings.Repeat("x", 50)}, nil)
	}
	for i := range 1000 {
		e, first, err := l.Begin(tokenKey(i), 0)
		require.NoError(t, err)
		require.False(t, first)
		if _, err := e.Wait(context.Background()); err != nil {
			require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
			dropped++
			continue
		}
		kept++
	}
	require.LessOrEqual(t, kept*50, 64*100)
	require.Equal(t, 1000, dropped+kept)
	clock.Advance(101)
	for i := range 1000 {
		_, _, _ = l.Begin(tokenKey(i), 0)
	}
	require.Zero(t, l.Len())
}

func TestFullLedgerRefusesNewRequests(t *testing.T) {
	l := idempotency.NewLedger(cicadapitch.NewManualClock(0), 1, idempotency.WithLimits(idempotency.Limits{Retention: 100, Entries: 64}))
	refused := 0
	for i := range 1000 {
		if _, _, err := l.Begin(tokenKey(i), 0); err != nil {
			require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
			refused++
		}
	}
	require.GreaterOrEqual(t, refused, 1000-64)
}

func TestRefusedKeyMayBeginAgainAndTokenMayNot(t *testing.T) {
	l := idempotency.NewLedger(cicadapitch.NewManualClock(0), 1)
	for _, k := range []idempotency.Key{tokenKey(1), {Customer: "club", IdempotencyKey: "1"}} {
		e, _, err := l.Begin(k, 0)
		require.NoError(t, err)
		e.Finish(cicadapitch.Answer{}, cicadapitch.NewNotRun("no", 1))
		_, first, err := l.Begin(k, 0)
		require.NoError(t, err)
		require.Equal(t, k.Token == "", first)
	}
}

func BenchmarkLedger(b *testing.B) {
	l := idempotency.NewLedger(cicadapitch.NewSystemClock(), 1,
		idempotency.WithLimits(idempotency.Limits{Retention: 1000, Bytes: 1 << 20, Entries: 1 << 30}))
	clock := cicadapitch.NewSystemClock()
	var n atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			e, _, err := l.Begin(tokenKey(int(n.Add(1))), clock.Now())
			if err != nil {
				b.Fatal(err)
			}
			e.Finish(cicadapitch.Answer{}, nil)
		}
	})
}
