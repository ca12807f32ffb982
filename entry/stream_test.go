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

// exchange is a fake way to the endpoints on which the chunks of all attempts
// come late, crossed, doubled and out of order.
type exchange struct {
	seed    uint64
	breakAt []int
	// orderly has each chunk come once and in order.
	orderly bool

	mu      sync.Mutex
	sinks   []func(cicadapitch.Chunk)
	chunks  []cicadapitch.Chunk
	resumed int
	tokens  []cicadapitch.Tokens
}

func (x *exchange) draw(n int) int {
	x.seed = x.seed*6364136223846793005 + 1442695040888963407
	return int(x.seed>>33) % n
}

// words is the text that an engine generates for an input.
func words(input string) []string {
	var out []string
	for i := range 12 {
		out = append(out, input+":"+strconv.Itoa(i)+" ")
	}
	return out
}

// run generates what follows the resumed text. It hands each chunk to any of
// the open attempts, some of them twice, in any order.
func (x *exchange) run(_ context.Context, a cicadapitch.Attempt, sink func(cicadapitch.Chunk)) (cicadapitch.StageResult, bool, error) {
	if a.ID.Stage != "generate" {
		return cicadapitch.StageResult{}, false, nil
	}
	whole := strings.Join(words(a.Input), "")
	rest := strings.TrimPrefix(whole, a.Resume)
	pieces := strings.SplitAfter(rest, " ")
	x.mu.Lock()
	defer x.mu.Unlock()
	x.tokens = append(x.tokens, a.MaxTokens)
	if a.Resume != "" {
		x.resumed++
	}
	stop := len(pieces)
	if len(x.breakAt) > 0 {
		stop, x.breakAt = min(x.breakAt[0], stop), x.breakAt[1:]
	}
	x.sinks = append(x.sinks, sink)
	for i, p := range pieces[:stop] {
		if p != "" {
			x.chunks = append(x.chunks, cicadapitch.Chunk{Attempt: a.ID, Index: i, Text: p})
		}
	}
	x.deliver(sink)
	if stop < len(pieces) {
		return cicadapitch.StageResult{}, true, cicadapitch.NewOutcomeUnknown("the stream broke")
	}
	res := resultOf(a)
	res.Output = rest
	return res, true, nil
}

func (x *exchange) deliver(own func(cicadapitch.Chunk)) {
	for i := range x.chunks {
		if x.orderly {
			own(x.chunks[i])
			continue
		}
		c := x.chunks[x.draw(len(x.chunks))]
		x.sinks[x.draw(len(x.sinks))](c)
		own(c)
	}
}

// TestStreamsKeepToTheirRequest runs requests at the same time over an exchange
// that mixes everything up. Each caller gets its own text, without gap or
// repeat, also where its stream breaks and is resumed.
func TestStreamsKeepToTheirRequest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := &exchange{
			seed:    rapid.Uint64().Draw(rt, "seed"),
			breakAt: rapid.SliceOfN(rapid.IntRange(0, 12), 0, 6).Draw(rt, "breaks"),
		}
		const requests = 3
		var texts, outputs [requests]string
		var errs [requests]error
		synctest.Test(t, func(*testing.T) {
			f := newFixture()
			f.runner = newFakeRunner(x.run)
			s := f.server(entry.WithSeed(x.seed))
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
	x := &exchange{breakAt: []int{5, 3}, orderly: true}
	f := newFixture()
	f.runner = newFakeRunner(x.run)
	var text strings.Builder
	a, err := f.server().Serve(context.Background(),
		cicadapitch.Request{Customer: "club", Pipeline: "draft", Input: "x"},
		func(c cicadapitch.Chunk) { text.WriteString(c.Text) })
	require.NoError(t, err)
	require.Equal(t, strings.Join(words("encode(x)"), ""), text.String())
	require.Equal(t, text.String(), a.Output)
	require.Equal(t, 2, x.resumed)
	require.Equal(t, []cicadapitch.Tokens{1000, 1000, 1000}, x.tokens)
	require.Equal(t, 3, a.Stages[1].Attempts)
}

// drops counts the drops by reason.
type drops struct {
	entry.NoMetrics
	mu     sync.Mutex
	counts map[entry.DropReason]int
	hedges int
}

func (d *drops) Dropped(r entry.DropReason) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[r]++
}

func (d *drops) Hedged(cicadapitch.StageID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hedges++
}

func TestWhatMatchesNoAttemptIsCounted(t *testing.T) {
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
	d := &drops{counts: make(map[entry.DropReason]int)}
	called := 0
	_, err := f.server(entry.WithMetrics(d)).Serve(context.Background(),
		cicadapitch.Request{Customer: "club", Pipeline: "draft", Input: "x"}, func(cicadapitch.Chunk) { called++ })
	require.NoError(t, err)
	require.Equal(t, 1, called, "the part of the result that did not come as a chunk")
	late(cicadapitch.Chunk{Attempt: own, Text: "late"})
	require.Equal(t, 1, called)
	require.Equal(t, map[entry.DropReason]int{
		entry.DropDuplicate: 2, entry.DropWrongAttempt: 2, entry.DropLate: 1,
	}, d.counts)
}
