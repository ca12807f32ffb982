package peer

import (
	"context"
	"sync"

	"cicadapitch.example/cicadapitch"
)

const (
	// outboxBytes is what senders may queue before they wait.
	outboxBytes cicadapitch.Bytes = 1 << 20
	// batchBytes is what one WebSocket message takes from several frames.
	batchBytes cicadapitch.Bytes = 64 << 10
	// maxControlFrames bounds the frames that bypass the limit in bytes. A
	// peer that makes more of them without reading is cut off.
	maxControlFrames = 1 << 16
)

// queuedFrame is an encoded frame that waits for the writer.
type queuedFrame struct {
	data  []byte
	taken bool
}

// outbox holds the encoded frames of a connection until they are written.
// Control frames go first and never wait, so that the reader never blocks.
type outbox struct {
	mu      sync.Mutex
	control [][]byte
	queue   []*queuedFrame
	bytes   cicadapitch.Bytes
	// filled wakes the writer.
	filled chan struct{}
	// space is closed and replaced whenever the writer has taken frames.
	space   chan struct{}
	waiting int
	idle    bool
}

func newOutbox() *outbox {
	return &outbox{filled: make(chan struct{}, 1), space: make(chan struct{}), idle: true}
}

// putControl queues a frame that must not wait. It reports false if there are
// too many of them.
func (o *outbox) putControl(data []byte) bool {
	o.mu.Lock()
	ok := len(o.control) < maxControlFrames
	if ok {
		o.control = append(o.control, data)
	}
	o.mu.Unlock()
	o.wake()
	return ok
}

// put queues a frame and waits for space first. It returns nil if ctx or done
// ended before there was space.
func (o *outbox) put(ctx context.Context, done <-chan struct{}, data []byte) *queuedFrame {
	q := &queuedFrame{data: data}
	for {
		space := o.tryPut(q)
		if space == nil {
			o.wake()
			return q
		}
		select {
		case <-ctx.Done():
			return nil
		case <-done:
			return nil
		case <-space:
		}
	}
}

// tryPut queues the frame and returns nil, or returns what to wait for.
func (o *outbox) tryPut(q *queuedFrame) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.bytes >= outboxBytes {
		o.waiting++
		return o.space
	}
	o.queue = append(o.queue, q)
	o.bytes += cicadapitch.Bytes(len(q.data))
	return nil
}

// withdraw takes a frame back. It reports false if the writer already has it.
func (o *outbox) withdraw(q *queuedFrame) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if q.taken {
		return false
	}
	for i, other := range o.queue {
		if other == q {
			o.queue = append(o.queue[:i], o.queue[i+1:]...)
			o.bytes -= cicadapitch.Bytes(len(q.data))
			break
		}
	}
	return true
}

// take appends the next batch to buf.
func (o *outbox) take(buf []byte) []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for n < len(o.control) && cicadapitch.Bytes(len(buf)) < batchBytes {
		buf = append(buf, o.control[n]...)
		n++
	}
	o.control = shift(o.control, n)
	n = 0
	for n < len(o.queue) && fits(buf, o.queue[n].data) {
		q := o.queue[n]
		q.taken = true
		o.bytes -= cicadapitch.Bytes(len(q.data))
		buf = append(buf, q.data...)
		n++
	}
	o.queue = shift(o.queue, n)
	o.idle = len(buf) == 0
	if o.waiting > 0 && o.bytes < outboxBytes {
		close(o.space)
		o.space = make(chan struct{})
		o.waiting = 0
	}
	return buf
}

// empty reports whether the writer has written all it was given.
func (o *outbox) empty() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.idle && len(o.control) == 0 && len(o.queue) == 0
}

func (o *outbox) wake() {
	select {
	case o.filled <- struct{}{}:
	default:
	}
}

// fits lets a frame larger than a batch go alone.
func fits(buf, data []byte) bool {
	return len(buf) == 0 || cicadapitch.Bytes(len(buf)+len(data)) <= batchBytes
}

// shift drops the first n values and keeps the array for reuse.
func shift[T any](list []T, n int) []T {
	rest := copy(list, list[n:])
	clear(list[rest:])
	return list[:rest]
}
