package client

import (
	"strings"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
)

// chunkDeduplicator passes the chunks of a stream to the caller. After a retry,
// it skips the text that the caller already has. If the text of a stage differs
// after a retry, the caller gets no further chunks of that stage; the final
// answer is still complete.
type chunkDeduplicator struct {
	sink func(cicadapitch.Chunk)
	// delivered is the text passed to sink, by stage.
	delivered map[string]string
	// received is the text of the current send, by stage.
	received map[string]string
	// counts is the number of chunks passed to sink, by stage.
	counts map[string]int
}

func newChunkDeduplicator(sink func(cicadapitch.Chunk)) *chunkDeduplicator {
	return &chunkDeduplicator{sink: sink, delivered: make(map[string]string), counts: make(map[string]int)}
}

// startSend must be called before each send of the request.
func (d *chunkDeduplicator) startSend() { d.received = make(map[string]string) }

// add passes the new text of a chunk to sink.
func (d *chunkDeduplicator) add(c entry.ChunkBody) {
	if d.sink == nil {
		return
	}
	text := d.received[c.Stage] + c.Text
	d.received[c.Stage] = text
	rest, ok := strings.CutPrefix(text, d.delivered[c.Stage])
	if !ok || rest == "" {
		return
	}
	d.delivered[c.Stage] = text
	id := cicadapitch.AttemptID{Stage: cicadapitch.StageID(c.Stage), Number: 1}
	d.sink(cicadapitch.Chunk{Attempt: id, Index: d.counts[c.Stage], Text: rest})
	d.counts[c.Stage]++
}
