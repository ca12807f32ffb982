package entry

import (
	"strings"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// maxAhead bounds the chunks that are held back because earlier ones have not
// come yet.
const maxAhead = 1024

// gatherer puts the chunks of one attempt in order. It drops what belongs to
// another attempt, has come before or comes after the attempt has ended.
type gatherer struct {
	attempt cicadapitch.AttemptID
	deliver func(cicadapitch.Chunk)
	dropped func(Dropped)

	mu     sync.Mutex
	next   int
	ahead  map[int]string
	text   strings.Builder
	closed bool
}

func newGatherer(id cicadapitch.AttemptID, deliver func(cicadapitch.Chunk), dropped func(Dropped)) *gatherer {
	return &gatherer{attempt: id, deliver: deliver, dropped: dropped}
}

// take accepts a chunk from a runner.
func (g *gatherer) take(c cicadapitch.Chunk) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason, ok := g.misfit(c); ok {
		g.dropped(reason)
		return
	}
	if c.Index > g.next {
		g.hold(c)
		return
	}
	g.pass(c.Text)
	g.release()
}

func (g *gatherer) misfit(c cicadapitch.Chunk) (Dropped, bool) {
	_, held := g.ahead[c.Index]
	switch {
	case c.Attempt != g.attempt:
		return DroppedCrossed, true
	case g.closed:
		return DroppedLate, true
	case c.Index < g.next || held:
		return DroppedDoubled, true
	case c.Index > g.next && len(g.ahead) >= maxAhead:
		return DroppedAhead, true
	}
	return "", false
}

func (g *gatherer) hold(c cicadapitch.Chunk) {
	if g.ahead == nil {
		g.ahead = make(map[int]string)
	}
	g.ahead[c.Index] = c.Text
}

func (g *gatherer) release() {
	for {
		text, ok := g.ahead[g.next]
		if !ok {
			return
		}
		delete(g.ahead, g.next)
		g.pass(text)
	}
}

func (g *gatherer) pass(text string) {
	g.text.WriteString(text)
	g.deliver(cicadapitch.Chunk{Attempt: g.attempt, Index: g.next, Text: text})
	g.next++
}

// count returns the number of chunks that came without gaps.
func (g *gatherer) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.next
}

// close ends the attempt and returns the text that came without gaps and the
// number of its chunks.
func (g *gatherer) close() (text string, chunks int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.ahead = nil
	return g.text.String(), g.next
}

// complete ends the attempt with its whole output and delivers the part that
// did not come as chunks. It returns false where the chunks are not the
// beginning of the output.
func (g *gatherer) complete(output string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.ahead = nil
	rest, ok := strings.CutPrefix(output, g.text.String())
	if !ok {
		return false
	}
	if rest != "" {
		g.pass(rest)
	}
	return true
}
