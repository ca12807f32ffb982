package peer

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
)

// handler serves one name. The bodies are encoded.
type handler func(ctx context.Context, body cbor.RawMessage, send func(cbor.RawMessage) error) (cbor.RawMessage, error)

// Handle registers fn for the calls of a name. The context of fn ends when the
// caller cancels, with cause ErrCancelled, and when the caller's connection
// ends, with cause ErrConnectionLost.
func Handle[Req, Resp any](s *Server, name string, fn func(ctx context.Context, req Req) (Resp, error)) {
	HandleStream(s, name, func(ctx context.Context, req Req, _ func(struct{}) error) (Resp, error) {
		return fn(ctx, req)
	})
}

// HandleStream registers fn for the calls of a name whose response follows a
// stream of items. send waits while the reader of the stream is slow, and
// fails once the caller is gone. It must not be used after fn has returned.
func HandleStream[Req, Item, Resp any](
	s *Server, name string, fn func(ctx context.Context, req Req, send func(Item) error) (Resp, error),
) {
	s.register(name, func(ctx context.Context, body cbor.RawMessage, send func(cbor.RawMessage) error) (cbor.RawMessage, error) {
		var req Req
		if err := decoding.Unmarshal(body, &req); err != nil {
			return nil, malformed(name + ": " + err.Error())
		}
		resp, err := fn(ctx, req, func(item Item) error {
			data, err := encoding.Marshal(item)
			if err != nil {
				return cicadapitch.Wrap(err)
			}
			return send(data)
		})
		if err != nil {
			return nil, err
		}
		data, err := encoding.Marshal(resp)
		return data, cicadapitch.Wrap(err)
	})
}
