package entry_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"github.com/stretchr/testify/require"
)

// streamScript describes one attempt of the stage generate. The attempt waits,
// streams some words, is silent for the pause, and then returns its result or hangs.
type streamScript struct {
	delay cicadapitch.Millis
	words int
	pause cicadapitch.Millis
	hangs bool
	// pauses holds how long the attempt is silent after each of its first words.
	pauses []cicadapitch.Millis
}

// newScriptedRunner returns a runner whose attempts of the stage generate follow the
// scripts in order.
func newScriptedRunner(clock cicadapitch.Clock, scripts ...streamScript) *fakeRunner {
	var mu sync.Mutex
	return newFakeRunner(func(ctx context.Context, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
		if a.ID.Stage != "generate" {
			return cicadapitch.StageResult{}, false, nil
		}
		mu.Lock()
		next := scripts[0]
		scripts = scripts[1:]
		mu.Unlock()
		_ = clock.Sleep(ctx, next.delay)
		rest := strings.TrimPrefix(strings.Join(words(a.Input), ""), a.Resume)
		for i, w := range strings.SplitAfter(rest, " ")[:next.words] {
			sink(cicadapitch.Chunk{Attempt: a.ID, Index: i, Text: w})
			_ = clock.Sleep(ctx, 10)
			if i < len(next.pauses) {
				_ = clock.Sleep(ctx, next.pauses[i])
			}
		}
		if clock.Sleep(ctx, next.pause) != nil {
			return cicadapitch.StageResult{}, true, ctx.Err()
		}
		if next.hangs {
			<-ctx.Done()
			return cicadapitch.StageResult{}, true, ctx.Err()
		}
		res := resultOf(a)
		res.Output = rest
		return res, true, nil
	})
}

func TestStalledStreamsAreRetriedOrHedged(t *testing.T) {
	cases := map[string]struct {
		scripts  []streamScript
		attempts int
		hedges   int
	}{
		"stalls halfway":               {[]streamScript{{words: 4, hangs: true}, {words: 8}}, 2, 0},
		"is silent for a second":       {[]streamScript{{words: 12, pauses: []cicadapitch.Millis{800, 1400}}, {words: 10}}, 1, 0},
		"stalls twice":                 {[]streamScript{{words: 4, hangs: true}, {words: 2, hangs: true}, {words: 6}}, 3, 0},
		"sends no first chunk":         {[]streamScript{{hangs: true}, {words: 12}}, 2, 1},
		"slow attempt streams too":     {[]streamScript{{delay: 2005, words: 12}, {delay: 10, words: 12}}, 2, 1},
		"both stream at the same time": {[]streamScript{{delay: 2005, words: 12}, {delay: 605, words: 12}}, 2, 1},
		"result without chunks":        {[]streamScript{{delay: 2500}, {delay: 600}}, 2, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				f.cfg.Pipelines[0].BetweenTokens = 47
				f.cfg.Pipelines[0].FirstToken = 1400
				f.runner = newScriptedRunner(f.clock, c.scripts...)
				metrics := &metricsCounter{drops: make(map[entry.DropReason]int)}
				var text strings.Builder
				start := f.clock.Now()
				a, err := f.newServer(entry.WithMetrics(metrics)).Serve(context.Background(), draft(),
					func(ch cicadapitch.Chunk) { text.WriteString(ch.Text) })
				require.NoError(t, err)
				require.Equal(t, strings.Join(words("encode(x)"), ""), a.Output)
				require.Equal(t, a.Output, text.String())
				require.Equal(t, c.attempts, a.Stages[1].Attempts)
				require.Equal(t, c.hedges, metrics.hedges)
				require.Less(t, f.clock.Now().Sub(start), 9*cicadapitch.Second)
			})
		})
	}
}

// TestSilentStreamIsNotGivenUpWithoutARetry guards against streams that are given up since their engine
// is silent for a time, though the retry budget allows no further attempt.
func TestSilentStreamIsNotGivenUpWithoutARetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.cfg.Pipelines[0].BetweenTokens = 47
		f.cfg.Pipelines[0].FirstToken = 1400
		f.runner = newScriptedRunner(f.clock, streamScript{words: 4, pause: 8000})
		a, err := f.newServer(entry.WithRetryBudget(0, 0)).Serve(context.Background(), draft(), nil)
		require.NoError(t, err)
		require.Equal(t, strings.Join(words("encode(x)"), ""), a.Output)
		require.Equal(t, 1, a.Stages[1].Attempts)
	})
}

// TestOnlyOneAttemptStreams has the first chunks of two attempts with different
// texts arrive at the same time. The caller must receive the text and the result of
// the same attempt.
func TestOnlyOneAttemptStreams(t *testing.T) {
	for range 50 {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			first := make(chan func(), 1)
			slowDone := make(chan struct{})
			f.runner = newFakeRunner(func(_ context.Context, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
				res := resultOf(a)
				switch {
				case a.ID.Stage != "generate":
					return res, false, nil
				case a.ID.Number == 1:
					first <- func() { sink(cicadapitch.Chunk{Attempt: a.ID, Text: "A"}) }
					<-slowDone
					res.Output = "AA"
					return res, true, nil
				}
				(<-first)()
				sink(cicadapitch.Chunk{Attempt: a.ID, Text: "B"})
				defer close(slowDone)
				res.Output = "BB"
				return res, true, nil
			})
			var text strings.Builder
			a, err := f.newServer().Serve(context.Background(), draft(), func(ch cicadapitch.Chunk) { text.WriteString(ch.Text) })
			require.NoError(t, err)
			require.Equal(t, "AA", a.Output)
			require.Equal(t, "AA", text.String())
		})
	}
}
