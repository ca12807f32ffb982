package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
)

// Forwarder hands requests to the host that minted their token.
type Forwarder interface {
	// Forward has the request served by another host, which must still be
	// the incarnation that the member names.
	Forward(ctx context.Context, to cicadapitch.Member, req cicadapitch.Request, sink func(cicadapitch.Chunk)) (cicadapitch.Answer, error)
	// Outcome asks another host what became of a token.
	Outcome(ctx context.Context, to cicadapitch.Member, customer cicadapitch.CustomerID, token cicadapitch.Token) (idempotency.Outcome, error)
}

// NoForwarder reaches no other host.
type NoForwarder struct{}

// Forward implements Forwarder.
func (NoForwarder) Forward(context.Context, cicadapitch.Member, cicadapitch.Request, func(cicadapitch.Chunk)) (cicadapitch.Answer, error) {
	return cicadapitch.Answer{}, unreachable()
}

// Outcome implements Forwarder.
func (NoForwarder) Outcome(context.Context, cicadapitch.Member, cicadapitch.CustomerID, cicadapitch.Token) (idempotency.Outcome, error) {
	return idempotency.Outcome{}, unreachable()
}

func unreachable() error {
	return cicadapitch.NewOutcomeUnknown("the host that the request belongs to cannot be reached")
}

func gone() error {
	return cicadapitch.NewOutcomeUnknown("the host that the request belongs to is gone")
}

// Claims gives the right to run a caller's own idempotency key.
type Claims interface {
	// Claim returns who holds the key, after claiming it for this host where
	// nobody does. Its errors mean that nothing has started: NotRun where the
	// store gives no answer or the budget is spent.
	Claim(ctx context.Context, customer cicadapitch.CustomerID, key string) (idempotency.Claim, error)
}

// NoClaims refuses all idempotency keys.
type NoClaims struct{}

// Claim implements Claims.
func (NoClaims) Claim(context.Context, cicadapitch.CustomerID, string) (idempotency.Claim, error) {
	return idempotency.Claim{}, cicadapitch.NewError(cicadapitch.Invalid,
		"the host takes no idempotency keys", "send a token from the directory")
}
