package client

import (
	"strings"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
)

// stream passes chunks to the caller so that no text comes twice, also when the
// request is sent again. Where a later sending brings another text, the chunks
// of its stage end; the answer is whole all the same.
type stream struct {
	sink   func(cicadapitch.Chunk)
	passed map[string]string
	// current is the text of the present sending by stage.
	current map[string]string
	counts  map[string]int
}

func newStream(sink func(cicadapitch.Chunk)) *stream {
	return &stream{sink: sink, passed: make(map[string]string), counts: make(map[string]int)}
}

// restart begins the chunks of a further sending.
func (s *stream) restart() { s.current = make(map[string]string) }

func (s *stream) take(c entry.ChunkBody) {
	if s.sink == nil {
		return
	}
	text := s.current[c.Stage] + c.Text
	s.current[c.Stage] = text
	rest, ok := strings.CutPrefix(text, s.passed[c.Stage])
	if !ok || rest == "" {
		return
	}
	s.passed[c.Stage] = text
	id := cicadapitch.AttemptID{Stage: cicadapitch.StageID(c.Stage), Number: 1}
	s.sink(cicadapitch.Chunk{Attempt: id, Index: s.counts[c.Stage], Text: rest})
	s.counts[c.Stage]++
}
