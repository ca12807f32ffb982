package peer

import (
	"context"
	"sync"

	"cicadapitch.example/cicadapitch"
)

const (
	// maxQueuedBytes is the size of queued ordinary frames at which senders
	// wait.
	maxQueuedBytes cicadapitch.Bytes = 1 << 20
	// maxBatchBytes is the size up to which frames are combined in one
	// WebSocket message.
	maxBatchBytes cicadapitch.Bytes = 64 << 10
	// maxControlFrames bounds the queued control frames, which do not count
	// towards maxQueuedBytes. A peer that causes more of them without reading
	// is disconnected.
	maxControlFrames = 1 << 16
)

// queuedFrame is an encoded frame that waits for the writer.
type queuedFrame struct {
	data []byte
	// handedOver is true once the writer has the frame.
	handedOver bool
}

// sendQueue holds the encoded frames of a connection until they are written.
// Control frames are written first. Queuing them never blocks, so that the
// reader of the connection never blocks.
type sendQueue struct {
	mu          sync.Mutex
	control     [][]byte
	frames      []*queuedFrame
	queuedBytes cicadapitch.Bytes
	// frameAdded wakes the writer.
	frameAdded chan struct{}
	// spaceFreed is closed and replaced when waiting senders may try again.
	spaceFreed chan struct{}
	// spaceWaiters counts the senders that wait for spaceFreed.
	spaceWaiters int
	// writerIdle is true if the writer found no frame in its last call of
	// appendBatch, so that all earlier frames are written.
	writerIdle bool
}

func newSendQueue() *sendQueue {
	return &sendQueue{frameAdded: make(chan struct{}, 1), spaceFreed: make(chan struct{}), writerIdle: true}
}

// enqueueControl queues a control frame without blocking. It returns false if
// maxControlFrames are queued.
func (q *sendQueue) enqueueControl(data []byte) bool {
	q.mu.Lock()
	ok := len(q.control) < maxControlFrames
	if ok {
		q.control = append(q.control, data)
	}
	q.mu.Unlock()
	q.wakeWriter()
	return ok
}

// enqueue waits for space and queues a frame. It returns nil if ctx or done
// ends first.
func (q *sendQueue) enqueue(ctx context.Context, done <-chan struct{}, data []byte) *queuedFrame {
	f := &queuedFrame{data: data}
	for {
		space := q.tryEnqueue(f)
		if space == nil {
			q.wakeWriter()
			return f
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

// tryEnqueue queues a frame and returns nil. Without space, it returns the
// channel that is closed when there may be some.
func (q *sendQueue) tryEnqueue(f *queuedFrame) <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.queuedBytes >= maxQueuedBytes {
		q.spaceWaiters++
		return q.spaceFreed
	}
	q.frames = append(q.frames, f)
	q.queuedBytes += cicadapitch.Bytes(len(f.data))
	return nil
}

// withdraw removes a frame from the queue. It returns false if the writer
// already has the frame.
func (q *sendQueue) withdraw(f *queuedFrame) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if f.handedOver {
		return false
	}
	for i, other := range q.frames {
		if other == f {
			q.frames = append(q.frames[:i], q.frames[i+1:]...)
			q.queuedBytes -= cicadapitch.Bytes(len(f.data))
			break
		}
	}
	return true
}

// appendBatch moves the frames of the next WebSocket message from the queue to
// buf. buf stays empty if no frame is queued.
func (q *sendQueue) appendBatch(buf []byte) []byte {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for n < len(q.control) && cicadapitch.Bytes(len(buf)) < maxBatchBytes {
		buf = append(buf, q.control[n]...)
		n++
	}
	q.control = dropFirst(q.control, n)
	n = 0
	for n < len(q.frames) && fitsBatch(buf, q.frames[n].data) {
		f := q.frames[n]
		f.handedOver = true
		q.queuedBytes -= cicadapitch.Bytes(len(f.data))
		buf = append(buf, f.data...)
		n++
	}
	q.frames = dropFirst(q.frames, n)
	q.writerIdle = len(buf) == 0
	if q.spaceWaiters > 0 && q.queuedBytes < maxQueuedBytes {
		close(q.spaceFreed)
		q.spaceFreed = make(chan struct{})
		q.spaceWaiters = 0
	}
	return buf
}

// allWritten reports whether all queued frames have been written.
func (q *sendQueue) allWritten() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.writerIdle && len(q.control) == 0 && len(q.frames) == 0
}

// wakeWriter wakes the writer without blocking.
func (q *sendQueue) wakeWriter() {
	select {
	case q.frameAdded <- struct{}{}:
	default:
	}
}

// fitsBatch reports whether data may be appended to the batch in buf. A frame
// larger than maxBatchBytes is sent alone.
func fitsBatch(buf, data []byte) bool {
	return len(buf) == 0 || cicadapitch.Bytes(len(buf)+len(data)) <= maxBatchBytes
}

// dropFirst removes the first n values in place, so that the array is reused.
func dropFirst[T any](list []T, n int) []T {
	remaining := copy(list, list[n:])
	clear(list[remaining:])
	return list[:remaining]
}
