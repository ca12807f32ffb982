package entry

import (
	"strings"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// maxBufferedChunks bounds the chunks of one attempt that are buffered until the
// chunks before them arrive.
const maxBufferedChunks = 1024

// assembler puts the chunks of one attempt in order and collects their text. It
// drops duplicates, chunks of other attempts and chunks that arrive after the
// attempt has ended.
type assembler struct {
	attempt cicadapitch.AttemptID
	deliver func(cicadapitch.Chunk)
	dropped func(DropReason)

	mu       sync.Mutex
	next     int
	buffered map[int]string
	text     strings.Builder
	closed   bool
}

func newAssembler(id cicadapitch.AttemptID, deliver func(cicadapitch.Chunk), dropped func(DropReason)) *assembler {
	return &assembler{attempt: id, deliver: deliver, dropped: dropped}
}

// add takes a chunk from a runner. It delivers the chunk, and the buffered chunks
// that follow it, once all earlier chunks have arrived.
func (a *assembler) add(c cicadapitch.Chunk) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if reason, ok := a.dropReason(c); ok {
		a.dropped(reason)
		return
	}
	if c.Index > a.next {
		a.buffer(c)
		return
	}
	a.deliverNext(c.Text)
	a.deliverBuffered()
}

// dropReason returns the reason to drop a chunk, or false if the chunk is to be
// delivered or buffered.
func (a *assembler) dropReason(c cicadapitch.Chunk) (DropReason, bool) {
	_, duplicate := a.buffered[c.Index]
	switch {
	case c.Attempt != a.attempt:
		return DropWrongAttempt, true
	case a.closed:
		return DropLate, true
	case c.Index < a.next || duplicate:
		return DropDuplicate, true
	case c.Index > a.next && len(a.buffered) >= maxBufferedChunks:
		return DropBufferFull, true
	}
	return "", false
}

func (a *assembler) buffer(c cicadapitch.Chunk) {
	if a.buffered == nil {
		a.buffered = make(map[int]string)
	}
	a.buffered[c.Index] = c.Text
}

// deliverBuffered delivers the buffered chunks up to the next gap.
func (a *assembler) deliverBuffered() {
	for {
		text, ok := a.buffered[a.next]
		if !ok {
			return
		}
		delete(a.buffered, a.next)
		a.deliverNext(text)
	}
}

// deliverNext delivers text as the chunk with the next index.
func (a *assembler) deliverNext(text string) {
	a.text.WriteString(text)
	a.deliver(cicadapitch.Chunk{Attempt: a.attempt, Index: a.next, Text: text})
	a.next++
}

// count returns the number of chunks delivered so far.
func (a *assembler) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.next
}

// close drops all further chunks. It returns the text delivered so far and the
// number of its chunks.
func (a *assembler) close() (text string, chunks int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.buffered = nil
	return a.text.String(), a.next
}

// finish drops all further chunks and delivers, as one chunk, the end of the
// output that has not been delivered yet. It returns false if the delivered text
// is not a prefix of the output.
func (a *assembler) finish(output string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.buffered = nil
	rest, ok := strings.CutPrefix(output, a.text.String())
	if !ok {
		return false
	}
	if rest != "" {
		a.deliverNext(rest)
	}
	return true
}
