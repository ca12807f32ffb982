package client

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
)

// traceConnection returns a context under which a request records whether it
// has got a connection. Before that, nothing of it can have reached the host.
func traceConnection(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := new(atomic.Bool)
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), connected
}
