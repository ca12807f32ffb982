package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
)

// clientConn is the caller's side of a connection. It assigns incoming frames
// to the pending calls.
type clientConn struct {
	conn *conn
	// startLock is held while a request is queued, so that requests are sent in
	// the order of their stream numbers: the server drops a lower number as a
	// duplicate. The lock is a channel, so that waiting for it can end with a
	// context.
	startLock chan struct{}

	mu         sync.Mutex
	pending    map[uint64]*pendingCall
	lastStream uint64
	// draining is true if the connection is to be closed after its last call.
	draining bool
	// closeErr is the error with which the connection ended, nil before.
	closeErr error
}

// pendingCall is a call that waits for its response.
type pendingCall struct {
	stream  uint64
	request *queuedFrame
	// updated receives a value after each change of items, response or connErr.
	updated chan struct{}

	mu    sync.Mutex
	items []cbor.RawMessage
	// nextItem is the number of the next expected item.
	nextItem uint64
	// unread counts the bytes of received items that the caller has not
	// handled.
	unread   cicadapitch.Bytes
	response *frame
	connErr  error
}

func newClientConn(c *conn) *clientConn {
	return &clientConn{conn: c, startLock: make(chan struct{}, 1), pending: make(map[uint64]*pendingCall)}
}

// startCall queues a request. An error means that the request was not sent.
func (c *clientConn) startCall(ctx context.Context, name string, body cbor.RawMessage) (*pendingCall, error) {
	select {
	case c.startLock <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-c.startLock }()
	p, err := c.addCall()
	if err != nil {
		return nil, err
	}
	data, err := encodeFrame(frame{
		Kind:   requestFrame,
		Stream: p.stream,
		Number: remainingMillis(ctx),
		Credit: uint64(c.conn.opts.streamWindow),
		Name:   name,
		Body:   body,
	})
	if err != nil {
		c.removeCall(p)
		return nil, err
	}
	p.request = c.conn.queue.enqueue(ctx, c.conn.ctx.Done(), data)
	if p.request == nil {
		c.removeCall(p)
		return nil, firstError(ctx.Err(), context.Cause(c.conn.ctx))
	}
	return p, nil
}

// addCall adds a pending call with the next stream number. It fails once the
// connection has ended.
func (c *clientConn) addCall() (*pendingCall, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return nil, c.closeErr
	}
	c.lastStream++
	p := &pendingCall{stream: c.lastStream, updated: make(chan struct{}, 1)}
	c.pending[p.stream] = p
	c.conn.beginCall()
	return p, nil
}

// removeCall removes a pending call and closes a draining connection after its
// last call.
func (c *clientConn) removeCall(p *pendingCall) {
	c.mu.Lock()
	delete(c.pending, p.stream)
	idle := c.draining && len(c.pending) == 0
	c.mu.Unlock()
	c.conn.endCall()
	if idle {
		c.conn.closeWithError(errClosed)
	}
}

// drain closes the connection as soon as it has no pending calls. The Dialer
// calls it after a failed probe. Calls that already hold the connection may
// still start.
func (c *clientConn) drain() {
	c.mu.Lock()
	c.draining = true
	idle := len(c.pending) == 0
	c.mu.Unlock()
	if idle {
		c.conn.closeWithError(errHeartbeatTimeout)
	}
}

// findCall returns the pending call of a stream, or nil.
func (c *clientConn) findCall(stream uint64) *pendingCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending[stream]
}

// handleFrame delivers a frame to its pending call. It drops a frame whose call
// has already ended.
func (c *clientConn) handleFrame(f frame) error {
	switch f.Kind {
	case itemFrame, responseFrame, failureFrame:
	default:
		return malformedError(fmt.Sprintf("a caller takes no frame of kind %s", f.Kind))
	}
	p := c.findCall(f.Stream)
	if p == nil {
		return nil
	}
	if f.Kind == itemFrame {
		return p.addItem(f, c.conn.opts.streamWindow+c.conn.opts.maxMessage)
	}
	p.complete(f)
	return nil
}

// connectionClosed fails all pending and later calls with err.
func (c *clientConn) connectionClosed(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeErr = err
	for _, p := range c.pending {
		p.fail(err)
	}
}

// sendCredit allows the server to send n more bytes of items on the stream of
// p.
func (c *clientConn) sendCredit(p *pendingCall, n cicadapitch.Bytes) {
	if err := c.conn.sendControl(frame{Kind: creditFrame, Stream: p.stream, Credit: uint64(n)}); err != nil {
		c.conn.closeWithError(err)
	}
}

// sendCancel asks the server to cancel the handler of p.
func (c *clientConn) sendCancel(p *pendingCall) {
	if err := c.conn.sendControl(frame{Kind: cancelFrame, Stream: p.stream}); err != nil {
		c.conn.closeWithError(err)
	}
}

// addItem queues an item. It drops duplicates. It returns an error, which
// closes the connection, if the peer skipped an item, or sent one while more than
// limit bytes of earlier items were unread.
func (p *pendingCall) addItem(f frame, limit cicadapitch.Bytes) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Number < p.nextItem || p.response != nil {
		return nil
	}
	if f.Number > p.nextItem {
		return malformedError(fmt.Sprintf("item %d came before item %d", f.Number, p.nextItem))
	}
	if p.unread > limit {
		return malformedError("a stream was sent more than its credit")
	}
	p.nextItem++
	p.unread += cicadapitch.Bytes(len(f.Body))
	p.items = append(p.items, f.Body)
	p.notify()
	return nil
}

// complete records the response or failure frame of the call. Only the first
// one counts.
func (p *pendingCall) complete(f frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.response == nil {
		p.response = &f
	}
	p.notify()
}

// fail records the error with which the connection ended.
func (p *pendingCall) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connErr = err
	p.notify()
}

// notify wakes the caller without blocking.
func (p *pendingCall) notify() {
	select {
	case p.updated <- struct{}{}:
	default:
	}
}

// callUpdate holds the items of a call that arrived since the last update, and
// the response or connection error if there is one.
type callUpdate struct {
	Items    []cbor.RawMessage
	Response *frame
	ConnErr  error
}

// takeUpdate returns the state of the call and removes the returned items.
func (p *pendingCall) takeUpdate() callUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	items := p.items
	p.items = nil
	return callUpdate{Items: items, Response: p.response, ConnErr: p.connErr}
}

// markRead subtracts n bytes that the caller has handled from the unread bytes.
func (p *pendingCall) markRead(n cicadapitch.Bytes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unread -= n
}

// firstError returns the first error that is not nil, or errClosed if all are
// nil.
func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return errClosed
}
