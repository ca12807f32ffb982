package peer

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
)

// handler serves the calls to one name. The request body, the items and the
// response are encoded.
type handler func(ctx context.Context, body cbor.RawMessage, send func(cbor.RawMessage) error) (cbor.RawMessage, error)

// Handle registers fn as the handler of calls to name. The context of fn ends
// when the call's timeout has passed, with cause ErrCancelled when the caller
// cancels, and with cause ErrConnectionLost when the caller's connection ends.
func Handle[Req, Resp any](s *Server, name string, fn func(ctx context.Context, req Req) (Resp, error)) {
	HandleStream(s, name, func(ctx context.Context, req Req, _ func(struct{}) error) (Resp, error) {
		return fn(ctx, req)
	})
}

// HandleStream registers fn as the handler of calls to name whose response
// follows a stream of items. send blocks while the caller has not read enough
// of the earlier items, and fails once the context of fn has ended. fn must not
// use send after it has returned.
func HandleStream[Req, Item, Resp any](
	s *Server, name string, fn func(ctx context.Context, req Req, send func(Item) error) (Resp, error),
) {
	s.register(name, func(ctx context.Context, body cbor.RawMessage, send func(cbor.RawMessage) error) (cbor.RawMessage, error) {
		var req Req
		if err := cborDecoder.Unmarshal(body, &req); err != nil {
			return nil, malformedError(name + ": " + err.Error())
		}
		resp, err := fn(ctx, req, func(item Item) error {
			data, err := cborEncoder.Marshal(item)
			if err != nil {
				return cicadapitch.Wrap(err)
			}
			return send(data)
		})
		if err != nil {
			return nil, err
		}
		data, err := cborEncoder.Marshal(resp)
		return data, cicadapitch.Wrap(err)
	})
}
