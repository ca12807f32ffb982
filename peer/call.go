package peer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
)

// Call makes a call to the host at address, which is ip:port. An error of kind
// NotRun from the transport means that the request was never handed to a
// connection, OutcomeUnknown that it was and no response came. An error of the
// handler keeps its kind.
func Call[Req, Resp any](ctx context.Context, d *Dialer, address, name string, req Req) (Resp, error) {
	return CallStream[Req, struct{}, Resp](ctx, d, address, name, req, func(struct{}) {})
}

// CallStream makes a call whose response follows a stream of items, which sink
// gets in order. A slow sink holds up its own stream only.
func CallStream[Req, Item, Resp any](
	ctx context.Context, d *Dialer, address, name string, req Req, sink func(Item),
) (Resp, error) {
	var resp Resp
	body, err := encoding.Marshal(req)
	if err != nil {
		return resp, cicadapitch.Wrap(err)
	}
	r := roundTrip{dialer: d, address: address, name: name, take: func(raw cbor.RawMessage) error {
		var item Item
		if err := decoding.Unmarshal(raw, &item); err != nil {
			return malformed(name + ": " + err.Error())
		}
		sink(item)
		return nil
	}}
	raw, err := r.do(ctx, body)
	if err != nil {
		return resp, err
	}
	if err := decoding.Unmarshal(raw, &resp); err != nil {
		return resp, outcomeUnknown(address, name, err)
	}
	return resp, nil
}

// roundTrip is one call with encoded messages.
type roundTrip struct {
	dialer  *Dialer
	address string
	name    string
	take    func(cbor.RawMessage) error
}

func (r roundTrip) do(ctx context.Context, body cbor.RawMessage) (cbor.RawMessage, error) {
	if err := r.dialer.enter(); err != nil {
		return nil, notRun(r.address, r.name, err)
	}
	defer r.dialer.calls.Done()
	if err := checkSize(r.name, body, r.dialer.opts.maxMessage); err != nil {
		return nil, err
	}
	c, err := r.dialer.connection(ctx, r.address)
	if err != nil {
		return nil, notRun(r.address, r.name, err)
	}
	p, err := c.start(ctx, r.name, body)
	if err != nil {
		return nil, notRun(r.address, r.name, err)
	}
	defer c.remove(p)
	return r.follow(ctx, c, p)
}

// follow passes on items until the response comes or the call ends otherwise.
func (r roundTrip) follow(ctx context.Context, c *calling, p *pending) (cbor.RawMessage, error) {
	var taken cicadapitch.Bytes
	for {
		now := p.progress()
		for _, item := range now.Items {
			if err := r.take(item); err != nil {
				c.cancel(p)
				return nil, outcomeUnknown(r.address, r.name, err)
			}
			p.release(cicadapitch.Bytes(len(item)))
			taken += cicadapitch.Bytes(len(item))
			if taken >= c.link.opts.window/2 && now.Answer == nil {
				c.grant(p, taken)
				taken = 0
			}
		}
		switch {
		case now.Answer != nil:
			return answerOf(now.Answer)
		case now.Lost != nil:
			return nil, r.unanswered(c, p, now.Lost)
		}
		select {
		case <-p.wake:
		case <-ctx.Done():
			c.cancel(p)
			return nil, r.unanswered(c, p, ctx.Err())
		}
	}
}

// unanswered tells a request that never left this host from one that did.
func (r roundTrip) unanswered(c *calling, p *pending, err error) error {
	if c.link.out.withdraw(p.queued) {
		return notRun(r.address, r.name, err)
	}
	return outcomeUnknown(r.address, r.name, err)
}

func answerOf(f *frame) (cbor.RawMessage, error) {
	if f.Kind == failureFrame {
		if f.Error == nil {
			return nil, cicadapitch.NewOutcomeUnknown("the peer sent a failure without an error")
		}
		return nil, f.Error
	}
	return f.Body, nil
}

// timeoutOf returns the milliseconds left for a call, 0 for no limit.
func timeoutOf(ctx context.Context) uint64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint64(max(cicadapitch.MillisOf(time.Until(deadline)), 1))
}
