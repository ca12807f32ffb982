package client

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// traceConnection returns a context for an HTTP request, and a flag that is set
// once the request has a connection. Until then, no byte of it can have reached
// the host.
func traceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := new(atomic.Bool)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), connected
}
