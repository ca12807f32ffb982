package entry

import (
	"sync"

	"cicadapitch.example/cicadapitch"
)

// chunkSink passes chunks to the sink of a caller, one at a time, until it is
// closed. It is safe for concurrent use.
type chunkSink struct {
	mu     sync.Mutex
	sink   func(cicadapitch.Chunk)
	closed bool
}

func newChunkSink(sink func(cicadapitch.Chunk)) *chunkSink {
	return &chunkSink{sink: sink, closed: sink == nil}
}

func (s *chunkSink) send(c cicadapitch.Chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.sink(c)
	}
}

func (s *chunkSink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
}
