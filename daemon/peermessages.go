package daemon

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"cicadapitch.example/cicadapitch/host"
	"cicadapitch.example/cicadapitch/idempotency"
	"cicadapitch.example/cicadapitch/peer"
)

// Names of the peer messages for the membership and for forwarded requests.
const (
	pingMessage           = "Host.Ping"
	forwardRequestMessage = "Entry.Forward"
	requestOutcomeMessage = "Entry.Outcome"
)

// pinger implements host.Transport over the peer transport.
type pinger struct{ dialer *peer.Dialer }

// Ping implements host.Transport.
func (p pinger) Ping(ctx context.Context, address string, m host.Ping) (host.Ack, error) {
	return peer.Call[host.Ping, host.Ack](ctx, p.dialer, address, pingMessage, m)
}

// forwardedRequest is a request forwarded to the process that issued its token or
// holds its idempotency key. Incarnation identifies that process.
type forwardedRequest struct {
	Incarnation cicadapitch.Incarnation
	Request     cicadapitch.Request
}

// requestOutcomeQuery asks an incarnation of a host for the outcome of the request
// that a customer sent with a token.
type requestOutcomeQuery struct {
	Incarnation cicadapitch.Incarnation
	Customer    cicadapitch.CustomerID
	Token       cicadapitch.Token
}

// forwarder implements entry.Forwarder over the peer transport.
type forwarder struct{ dialer *peer.Dialer }

// Forward implements entry.Forwarder.
func (f forwarder) Forward(
	ctx context.Context, to cicadapitch.Member, req cicadapitch.Request, sink func(cicadapitch.Chunk),
) (cicadapitch.Answer, error) {
	m := forwardedRequest{Incarnation: to.Incarnation, Request: req}
	return peer.CallStream[forwardedRequest, cicadapitch.Chunk, cicadapitch.Answer](
		ctx, f.dialer, to.PeerAddress, forwardRequestMessage, m, sink)
}

// Outcome implements entry.Forwarder.
func (f forwarder) Outcome(
	ctx context.Context, to cicadapitch.Member, customer cicadapitch.CustomerID, token cicadapitch.Token,
) (idempotency.Outcome, error) {
	m := requestOutcomeQuery{Incarnation: to.Incarnation, Customer: customer, Token: token}
	return peer.Call[requestOutcomeQuery, idempotency.Outcome](ctx, f.dialer, to.PeerAddress, requestOutcomeMessage, m)
}

// serveMembership registers the handler for the pings of other hosts.
func serveMembership(s *peer.Server, group *host.Group) {
	peer.Handle(s, pingMessage, group.Handle)
}

// serveForwardedRequests registers the handlers for requests and outcome queries
// that other hosts forward. A message for an earlier incarnation of this host
// returns an OutcomeUnknown error.
func serveForwardedRequests(s *peer.Server, self cicadapitch.Member, server *entry.Server) {
	peer.HandleStream(s, forwardRequestMessage, func(
		ctx context.Context, m forwardedRequest, send func(cicadapitch.Chunk) error,
	) (cicadapitch.Answer, error) {
		if m.Incarnation != self.Incarnation {
			return cicadapitch.Answer{}, newProcessReplacedError()
		}
		// A request that may not be repeated continues even if its chunks can no
		// longer be sent, so that a retry finds its answer.
		return server.Serve(ctx, m.Request, func(c cicadapitch.Chunk) { _ = send(c) })
	})
	peer.Handle(s, requestOutcomeMessage, func(ctx context.Context, m requestOutcomeQuery) (idempotency.Outcome, error) {
		if m.Incarnation != self.Incarnation {
			return idempotency.Outcome{}, newProcessReplacedError()
		}
		return server.Outcome(ctx, m.Customer, m.Token)
	})
}

// newProcessReplacedError returns the OutcomeUnknown error for a message that is
// meant for an earlier incarnation of this host.
func newProcessReplacedError() error {
	return cicadapitch.NewOutcomeUnknown("the process that the request belongs to has been replaced")
}
