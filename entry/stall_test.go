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

// stream is how one attempt of a generate stage behaves: it waits, sends some
// of its words and then goes on or hangs.
type stream struct {
	wait  cicadapitch.Millis
	sends int
	hangs bool
}

// streams runs the attempts of the generate stage one after the other's script.
func streams(clock cicadapitch.Clock, scripts ...stream) *fakeRunner {
	var mu sync.Mutex
	return newFakeRunner(func(ctx context.Context, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
		if a.ID.Stage != "generate" {
			return cicadapitch.StageResult{}, false, nil
		}
		mu.Lock()
		next := scripts[0]
		scripts = scripts[1:]
		mu.Unlock()
		_ = clock.Sleep(ctx, next.wait)
		rest := strings.TrimPrefix(strings.Join(words(a.Input), ""), a.Resume)
		for i, w := range strings.SplitAfter(rest, " ")[:next.sends] {
			sink(cicadapitch.Chunk{Attempt: a.ID, Index: i, Text: w})
			_ = clock.Sleep(ctx, 10)
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

func TestSilentStreamsAreReplaced(t *testing.T) {
	cases := map[string]struct {
		scripts  []stream
		attempts int
		hedges   int
	}{
		"stalls half way":       {[]stream{{sends: 4, hangs: true}, {sends: 8}}, 2, 0},
		"stalls twice":          {[]stream{{sends: 4, hangs: true}, {sends: 2, hangs: true}, {sends: 6}}, 3, 0},
		"brings no first chunk": {[]stream{{hangs: true}, {sends: 12}}, 2, 1},
		"slow one comes too":    {[]stream{{wait: 2005, sends: 12}, {wait: 10, sends: 12}}, 2, 1},
		"both come at once":     {[]stream{{wait: 2005, sends: 12}, {wait: 605, sends: 12}}, 2, 1},
		"result without chunks": {[]stream{{wait: 2500}, {wait: 600}}, 2, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				f.cfg.Pipelines[0].BetweenTokens = 47
				f.cfg.Pipelines[0].FirstToken = 1400
				f.runner = streams(f.clock, c.scripts...)
				d := &drops{counts: make(map[entry.DropReason]int)}
				var text strings.Builder
				start := f.clock.Now()
				a, err := f.server(entry.WithMetrics(d)).Serve(context.Background(), draft(),
					func(ch cicadapitch.Chunk) { text.WriteString(ch.Text) })
				require.NoError(t, err)
				require.Equal(t, strings.Join(words("encode(x)"), ""), a.Output)
				require.Equal(t, a.Output, text.String())
				require.Equal(t, c.attempts, a.Stages[1].Attempts)
				require.Equal(t, c.hedges, d.hedges)
				require.Less(t, f.clock.Now().Sub(start), 9*cicadapitch.Second)
			})
		})
	}
}

// TestOnlyOneAttemptStreams has the first chunks of two attempts with different
// texts come at once.
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
			a, err := f.server().Serve(context.Background(), draft(), func(ch cicadapitch.Chunk) { text.WriteString(ch.Text) })
			require.NoError(t, err)
			require.Equal(t, "AA", a.Output)
			require.Equal(t, "AA", text.String())
		})
	}
}
