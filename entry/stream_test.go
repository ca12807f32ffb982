package entry_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// unreliableTransport is a fake connection to the endpoints. It delivers the chunks
// of all attempts late, to other attempts, twice and out of order.
type unreliableTransport struct {
	seed uint64
	// breakAt lists, for the first attempts, the number of chunks after which the
	// stream breaks.
	breakAt []int
	// inOrder has each chunk arrive once and in order.
	inOrder bool

	mu      sync.Mutex
	sinks   []func(cicadapitch.Chunk)
	chunks  []cicadapitch.Chunk
	resumed int
	tokens  []cicadapitch.Tokens
}

// draw returns a pseudorandom number in [0, n).
func (u *unreliableTransport) draw(n int) int {
	u.seed = u.seed*6364136223846793005 + 1442695040888963407
	return int(u.seed>>33) % n
}

// words returns the text that an engine generates for an input, split into words.
func words(input string) []string {
	var out []string
	for i := range 12 {
		out = append(out, input+":"+strconv.Itoa(i)+" ")
	}
	return out
}

// run generates the text after the resumed part. It delivers chunks of all attempts
// in random order, each to a random attempt and to this one, some of them twice.
func (u *unreliableTransport) run(_ context.Context, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
	if a.ID.Stage != "generate" {
		return cicadapitch.StageResult{}, false, nil
	}
	whole := strings.Join(words(a.Input), "")
	rest := strings.TrimPrefix(whole, a.Resume)
	pieces := strings.SplitAfter(rest, " ")
	u.mu.Lock()
	defer u.mu.Unlock()
	u.tokens = append(u.tokens, a.MaxTokens)
	if a.Resume != "" {
		u.resumed++
	}
	stop := len(pieces)
	if len(u.breakAt) > 0 {
		stop, u.breakAt = min(u.breakAt[0], stop), u.breakAt[1:]
	}
	u.sinks = append(u.sinks, sink)
	for i, p := range pieces[:stop] {
		if p != "" {
			u.chunks = append(u.chunks, cicadapitch.Chunk{Attempt: a.ID, Index: i, Text: p})
		}
	}
	u.deliver(sink)
	if stop < len(pieces) {
		return cicadapitch.StageResult{}, true, cicadapitch.NewOutcomeUnknown("the stream broke")
	}
	res := resultOf(a)
	res.Output = rest
	return res, true, nil
}

func (u *unreliableTransport) deliver(own func(cicadapitch.Chunk)) {
	for i := range u.chunks {
		if u.inOrder {
			own(u.chunks[i])
			continue
		}
		c := u.chunks[u.draw(len(u.chunks))]
		u.sinks[u.draw(len(u.sinks))](c)
		own(c)
	}
}

// TestEachCallerReceivesItsOwnStream runs concurrent requests over an unreliable
// transport. Each caller must receive its own text without gaps or repeats, even if
// its stream breaks and is resumed.
func TestEachCallerReceivesItsOwnStream(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		u := &unreliableTransport{
			seed:    rapid.Uint64().Draw(rt, "seed"),
			breakAt: rapid.SliceOfN(rapid.IntRange(0, 12), 0, 6).Draw(rt, "breaks"),
		}
		const requests = 3
		var texts, outputs [requests]string
		var errs [requests]error
		synctest.Test(t, func(*testing.T) {
			f := newFixture()
			f.runner = newFakeRunner(u.run)
			s := f.newServer(entry.WithSeed(u.seed))
			var wg sync.WaitGroup
			for i := range requests {
				wg.Go(func() {
					next := make(map[cicadapitch.AttemptID]int)
					a, err := s.Serve(context.Background(),
						cicadapitch.Request{Customer: "club", Pipeline: "draft", Input: strconv.Itoa(i)},
						func(c cicadapitch.Chunk) {
							if c.Index != next[c.Attempt] {
								texts[i] += "<gap>"
							}
							next[c.Attempt]++
							texts[i] += c.Text
						})
					outputs[i], errs[i] = a.Output, err
				})
			}
			wg.Wait()
		})
		for i := range requests {
			want := strings.Join(words("encode("+strconv.Itoa(i)+")"), "")
			if errs[i] != nil {
				require.Equal(rt, cicadapitch.DeadlineExceeded, cicadapitch.KindOf(errs[i]))
				require.True(rt, strings.HasPrefix(want, texts[i]))
				continue
			}
			require.Equal(rt, want, outputs[i])
			require.Equal(rt, want, texts[i], "the caller's stream")
		}
	})
}

func TestBrokenStreamIsResumed(t *testing.T) {
	u := &unreliableTransport{breakAt: []int{5, 3}, inOrder: true}
	f := newFixture()
	f.runner = newFakeRunner(u.run)
	var text strings.Builder
	a, err := f.newServer().Serve(context.Background(),
		cicadapitch.Request{Customer: "club", Pipeline: "draft", Input: "x"},
		func(c cicadapitch.Chunk) { text.WriteString(c.Text) })
	require.NoError(t, err)
	require.Equal(t, strings.Join(words("encode(x)"), ""), text.String())
	require.Equal(t, text.String(), a.Output)
	require.Equal(t, 2, u.resumed)
	require.Equal(t, []cicadapitch.Tokens{1000, 1000, 1000}, u.tokens)
	require.Equal(t, 3, a.Stages[1].Attempts)
}

// metricsCounter counts the drops by reason and the hedges.
type metricsCounter struct {
	entry.NoMetrics
	mu     sync.Mutex
	drops  map[entry.DropReason]int
	hedges int
}

func (c *metricsCounter) Dropped(r entry.DropReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drops[r]++
}

func (c *metricsCounter) Hedged(cicadapitch.StageID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hedges++
}

func TestDroppedChunksAreCounted(t *testing.T) {
	var late func(cicadapitch.Chunk)
	var own cicadapitch.AttemptID
	f := newFixture()
	f.runner = newFakeRunner(func(_ context.Context, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
		late, own = sink, a.ID
		sink(cicadapitch.Chunk{Attempt: a.ID, Index: 1 << 20, Text: "ahead"})
		sink(cicadapitch.Chunk{Attempt: a.ID, Index: 1 << 20, Text: "ahead"})
		sink(cicadapitch.Chunk{Attempt: cicadapitch.AttemptID{Request: "another"}, Text: "crossed"})
		return cicadapitch.StageResult{}, false, nil
	})
	metrics := &metricsCounter{drops: make(map[entry.DropReason]int)}
	called := 0
	_, err := f.newServer(entry.WithMetrics(metrics)).Serve(context.Background(),
		cicadapitch.Request{Customer: "club", Pipeline: "draft", Input: "x"}, func(cicadapitch.Chunk) { called++ })
	require.NoError(t, err)
	require.Equal(t, 1, called, "the text of the result that no chunk contained")
	late(cicadapitch.Chunk{Attempt: own, Text: "late"})
	require.Equal(t, 1, called)
	require.Equal(t, map[entry.DropReason]int{
		entry.DropDuplicate: 2, entry.DropWrongAttempt: 2, entry.DropLate: 1,
	}, metrics.drops)
}

// TestBrokenAnswerOfAServiceIsNotResumed loses the result of a plain service after its
// output arrived as a chunk. The service answers whole once more, so a stage that went on
// after the chunk would pass its output on twice, and the answer would be one to another
// prompt.
func TestBrokenAnswerOfAServiceIsNotResumed(t *testing.T) {
	u := &unreliableTransport{inOrder: true}
	f := newFixture()
	f.runner = newFakeRunner(func(ctx context.Context, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
		if a.ID.Stage == "generate" {
			return u.run(ctx, a, sink)
		}
		require.Empty(t, a.Resume)
		res := resultOf(a)
		sink(cicadapitch.Chunk{Attempt: a.ID, Text: res.Output})
		if a.ID.Number == 1 {
			return cicadapitch.StageResult{}, true, cicadapitch.NewOutcomeUnknown("the owner was killed")
		}
		return res, true, nil
	})
	a, err := f.newServer().Serve(context.Background(), cicadapitch.Request{Customer: "club", Pipeline: "draft", Input: "x"}, nil)
	require.NoError(t, err)
	require.Equal(t, strings.Join(words("encode(x)"), ""), a.Output)
}

// TestBrokenStreamOfAServiceIsNotRepeated breaks a stream of a plain service off after its
// caller got a part. Another attempt would send the caller that part again.
func TestBrokenStreamOfAServiceIsNotRepeated(t *testing.T) {
	f := newFixture()
	f.cfg.Pipelines[0].Stages[0].Streams = true
	f.runner = newFakeRunner(func(_ context.Context, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
		sink(cicadapitch.Chunk{Attempt: a.ID, Text: "part"})
		return cicadapitch.StageResult{}, true, cicadapitch.NewOutcomeUnknown("the owner was killed")
	})
	var text strings.Builder
	_, err := f.newServer().Serve(context.Background(), cicadapitch.Request{Customer: "club", Pipeline: "draft", Input: "x"},
		func(c cicadapitch.Chunk) { text.WriteString(c.Text) })
	require.Error(t, err)
	require.Equal(t, "part", text.String())
}
