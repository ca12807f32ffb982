package daemon

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"cicadapitch.example/cicadapitch/host"
	"cicadapitch.example/cicadapitch/idempotency"
	"cicadapitch.example/cicadapitch/peer"
)

// Names of the messages between hosts.
const (
	pingMessage    = "Host.Ping"
	forwardMessage = "Entry.Forward"
	settledMessage = "Entry.Outcome"
)

// pinger carries the messages of the membership.
type pinger struct{ dialer *peer.Dialer }

// Ping implements host.Transport.
func (p pinger) Ping(ctx context.Context, address string, m host.Ping) (host.Ack, error) {
	return peer.Call[host.Ping, host.Ack](ctx, p.dialer, address, pingMessage, m)
}

// forwarded is a request that goes to the host that minted its token.
type forwarded struct {
	Incarnation cicadapitch.Incarnation
	Request     cicadapitch.Request
}

// settled asks the host that minted a token what became of it.
type settled struct {
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
	m := forwarded{Incarnation: to.Incarnation, Request: req}
	return peer.CallStream[forwarded, cicadapitch.Chunk, cicadapitch.Answer](
		ctx, f.dialer, to.PeerAddress, forwardMessage, m, sink)
}

// Outcome implements entry.Forwarder.
func (f forwarder) Outcome(
	ctx context.Context, to cicadapitch.Member, customer cicadapitch.CustomerID, token cicadapitch.Token,
) (idempotency.Outcome, error) {
	m := settled{Incarnation: to.Incarnation, Customer: customer, Token: token}
	return peer.Call[settled, idempotency.Outcome](ctx, f.dialer, to.PeerAddress, settledMessage, m)
}

// serveMembership answers the pings of other hosts.
func serveMembership(s *peer.Server, group *host.Group) {
	peer.Handle(s, pingMessage, group.Handle)
}

// serveForwarded answers what other hosts forward to this incarnation.
func serveForwarded(s *peer.Server, self cicadapitch.Member, server *entry.Server) {
	peer.HandleStream(s, forwardMessage, func(
		ctx context.Context, m forwarded, send func(cicadapitch.Chunk) error,
	) (cicadapitch.Answer, error) {
		if m.Incarnation != self.Incarnation {
			return cicadapitch.Answer{}, replaced()
		}
		return server.Serve(ctx, m.Request, func(c cicadapitch.Chunk) { _ = send(c) })
	})
	peer.Handle(s, settledMessage, func(ctx context.Context, m settled) (idempotency.Outcome, error) {
		if m.Incarnation != self.Incarnation {
			return idempotency.Outcome{}, replaced()
		}
		return server.Outcome(ctx, m.Customer, m.Token)
	})
}

func replaced() error {
	return cicadapitch.NewOutcomeUnknown("the process that the request belongs to has been replaced")
}
