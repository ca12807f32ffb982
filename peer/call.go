package peer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
)

// Call sends req to the handler of name on the host at address, which is
// ip:port, and returns its response. The error is NotRun if the request was
// never handed to a connection, OutcomeUnknown if it was but no response
// arrived, and Invalid if the request is larger than the maximum message.
// NotRun and OutcomeUnknown errors also match context.Canceled or
// context.DeadlineExceeded if that ended the call, and NotRun errors
// syscall.ECONNREFUSED if no process listens at the address. An error returned by the
// handler keeps its kind.
func Call[Req, Resp any](ctx context.Context, d *Dialer, address, name string, req Req) (Resp, error) {
	return CallStream[Req, struct{}, Resp](ctx, d, address, name, req, func(struct{}) {})
}

// CallStream is like Call for a handler that sends a stream of items before its
// response. It calls sink with each item in order. A slow sink delays only its
// own stream.
func CallStream[Req, Item, Resp any](
	ctx context.Context, d *Dialer, address, name string, req Req, sink func(Item),
) (Resp, error) {
	var resp Resp
	body, err := cborEncoder.Marshal(req)
	if err != nil {
		return resp, cicadapitch.Wrap(err)
	}
	r := roundTrip{dialer: d, address: address, name: name, onItem: func(raw cbor.RawMessage) error {
		var item Item
		if err := cborDecoder.Unmarshal(raw, &item); err != nil {
			return malformedError(name + ": " + err.Error())
		}
		sink(item)
		return nil
	}}
	raw, err := r.do(ctx, body)
	if err != nil {
		return resp, err
	}
	if err := cborDecoder.Unmarshal(raw, &resp); err != nil {
		return resp, outcomeUnknown(address, name, err)
	}
	return resp, nil
}

// roundTrip is one call with encoded messages. It passes each item to onItem.
type roundTrip struct {
	dialer  *Dialer
	address string
	name    string
	onItem  func(cbor.RawMessage) error
}

// do sends the request and returns the encoded response.
func (r roundTrip) do(ctx context.Context, body cbor.RawMessage) (cbor.RawMessage, error) {
	if err := r.dialer.beginCall(); err != nil {
		return nil, notRun(r.address, r.name, err)
	}
	defer r.dialer.activeCalls.Done()
	if err := checkSize(r.name, body, r.dialer.opts.maxMessage); err != nil {
		return nil, err
	}
	c, err := r.dialer.connection(ctx, r.address)
	if err != nil {
		return nil, notRun(r.address, r.name, err)
	}
	p, err := c.startCall(ctx, r.name, body)
	if err != nil {
		return nil, notRun(r.address, r.name, err)
	}
	defer c.removeCall(p)
	return r.awaitResponse(ctx, c, p)
}

// awaitResponse handles stream items until the response arrives or the call
// fails. It grants the server new credit whenever half of the window has been
// read.
func (r roundTrip) awaitResponse(ctx context.Context, c *clientConn, p *pendingCall) (cbor.RawMessage, error) {
	var uncredited cicadapitch.Bytes
	for {
		update := p.takeUpdate()
		for _, item := range update.Items {
			if err := r.onItem(item); err != nil {
				c.sendCancel(p)
				return nil, outcomeUnknown(r.address, r.name, err)
			}
			p.markRead(cicadapitch.Bytes(len(item)))
			uncredited += cicadapitch.Bytes(len(item))
			if uncredited >= c.conn.opts.streamWindow/2 && update.Response == nil {
				c.sendCredit(p, uncredited)
				uncredited = 0
			}
		}
		switch {
		case update.Response != nil:
			return responseBody(update.Response)
		case update.ConnErr != nil:
			return nil, r.noResponseError(c, p, update.ConnErr)
		}
		select {
		case <-p.updated:
		case <-ctx.Done():
			c.sendCancel(p)
			return nil, r.noResponseError(c, p, ctx.Err())
		}
	}
}

// noResponseError returns the error of a call that ended without a response:
// NotRun if the request could still be withdrawn from the send queue, and
// OutcomeUnknown otherwise.
func (r roundTrip) noResponseError(c *clientConn, p *pendingCall, err error) error {
	if c.conn.queue.withdraw(p.request) {
		return notRun(r.address, r.name, err)
	}
	return outcomeUnknown(r.address, r.name, err)
}

// responseBody returns the body of a response frame or the error of a failure
// frame.
func responseBody(f *frame) (cbor.RawMessage, error) {
	if f.Kind == failureFrame {
		if f.Error == nil {
			return nil, cicadapitch.NewOutcomeUnknown("the peer sent a failure without an error")
		}
		return nil, f.Error
	}
	return f.Body, nil
}

// remainingMillis returns the milliseconds until the deadline of ctx, at least
// 1, or 0 if it has no deadline.
func remainingMillis(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint64(max(cicadapitch.MillisOf(time.Until(deadline)), 1))
}
