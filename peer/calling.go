package peer

import (
	"context"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
)

// calling is the side of a connection that makes calls.
type calling struct {
	link *link
	// starting keeps the streams in the order of their requests.
	starting chan struct{}

	mu      sync.Mutex
	pending map[uint64]*pending
	last    uint64
	// abandoned connections end with their last call.
	abandoned bool
	err       error
}

// pending is one call that waits for its response.
type pending struct {
	stream uint64
	queued *queuedFrame
	wake   chan struct{}

	mu     sync.Mutex
	items  []cbor.RawMessage
	next   uint64
	held   cicadapitch.Bytes
	answer *frame
	lost   error
}

func newCalling(l *link) *calling {
	return &calling{link: l, starting: make(chan struct{}, 1), pending: make(map[uint64]*pending)}
}

// start sends a request. An error means that it was not sent.
func (c *calling) start(ctx context.Context, name string, body cbor.RawMessage) (*pending, error) {
	select {
	case c.starting <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-c.starting }()
	p, err := c.add()
	if err != nil {
		return nil, err
	}
	data, err := encodeFrame(frame{
		Kind:   requestFrame,
		Stream: p.stream,
		Number: timeoutOf(ctx),
		Credit: uint64(c.link.opts.window),
		Name:   name,
		Body:   body,
	})
	if err != nil {
		c.remove(p)
		return nil, err
	}
	p.queued = c.link.out.put(ctx, c.link.ctx.Done(), data)
	if p.queued == nil {
		c.remove(p)
		return nil, firstError(ctx.Err(), context.Cause(c.link.ctx))
	}
	return p, nil
}

func (c *calling) add() (*pending, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return nil, c.err
	}
	c.last++
	p := &pending{stream: c.last, wake: make(chan struct{}, 1)}
	c.pending[p.stream] = p
	c.link.begin()
	return p, nil
}

func (c *calling) remove(p *pending) {
	c.mu.Lock()
	delete(c.pending, p.stream)
	unused := c.abandoned && len(c.pending) == 0
	c.mu.Unlock()
	c.link.end()
	if unused {
		c.link.fail(errClosed)
	}
}

// abandon ends the connection as soon as it has no calls.
func (c *calling) abandon() {
	c.mu.Lock()
	c.abandoned = true
	unused := len(c.pending) == 0
	c.mu.Unlock()
	if unused {
		c.link.fail(errSilent)
	}
}

func (c *calling) find(stream uint64) *pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending[stream]
}

// accept hands a frame to its call. One that matches no call is late and is
// dropped.
func (c *calling) accept(f frame) error {
	switch f.Kind {
	case itemFrame, responseFrame, failureFrame:
	default:
		return malformed(fmt.Sprintf("a caller takes no frame of kind %s", f.Kind))
	}
	p := c.find(f.Stream)
	if p == nil {
		return nil
	}
	if f.Kind == itemFrame {
		return p.item(f, c.link.opts.window+c.link.opts.maxMessage)
	}
	p.finish(f)
	return nil
}

func (c *calling) lost(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	for _, p := range c.pending {
		p.lose(err)
	}
}

// grant allows the writer of a stream to send n more bytes.
func (c *calling) grant(p *pending, n cicadapitch.Bytes) {
	if err := c.link.sendControl(frame{Kind: creditFrame, Stream: p.stream, Credit: uint64(n)}); err != nil {
		c.link.fail(err)
	}
}

func (c *calling) cancel(p *pending) {
	if err := c.link.sendControl(frame{Kind: cancelFrame, Stream: p.stream}); err != nil {
		c.link.fail(err)
	}
}

// item queues an item. Duplicates are dropped; a gap or more than the credit
// is the peer's fault and ends the connection.
func (p *pending) item(f frame, limit cicadapitch.Bytes) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Number < p.next || p.answer != nil {
		return nil
	}
	if f.Number > p.next {
		return malformed(fmt.Sprintf("item %d came before item %d", f.Number, p.next))
	}
	if p.held > limit {
		return malformed("a stream was sent more than its credit")
	}
	p.next++
	p.held += cicadapitch.Bytes(len(f.Body))
	p.items = append(p.items, f.Body)
	p.signal()
	return nil
}

func (p *pending) finish(f frame) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answer == nil {
		p.answer = &f
	}
	p.signal()
}

func (p *pending) lose(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = err
	p.signal()
}

func (p *pending) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// progress is what came for a call since it was last asked.
type progress struct {
	Items  []cbor.RawMessage
	Answer *frame
	Lost   error
}

func (p *pending) progress() progress {
	p.mu.Lock()
	defer p.mu.Unlock()
	items := p.items
	p.items = nil
	return progress{Items: items, Answer: p.answer, Lost: p.lost}
}

// release counts bytes that the reader has taken.
func (p *pending) release(n cicadapitch.Bytes) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held -= n
}

func firstError(list ...error) error {
	for _, err := range list {
		if err != nil {
			return err
		}
	}
	return errClosed
}
