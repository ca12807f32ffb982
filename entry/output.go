package entry

import (
	"sync"

	"cicadapitch.example/cicadapitch"
)

// output passes chunks to the caller, one at a time, until it is closed.
type output struct {
	mu     sync.Mutex
	sink   func(cicadapitch.Chunk)
	closed bool
}

func newOutput(sink func(cicadapitch.Chunk)) *output {
	return &output{sink: sink, closed: sink == nil}
}

func (o *output) send(c cicadapitch.Chunk) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.closed {
		o.sink(c)
	}
}

func (o *output) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
}
