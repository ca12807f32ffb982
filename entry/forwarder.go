package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
)

// Forwarder sends requests to the host that may run them: the one that minted the
// token or holds the claim on the idempotency key.
type Forwarder interface {
	// Forward has another host serve the request and passes the chunks to sink.
	// It returns an OutcomeUnknown error if the host now runs another
	// incarnation than the member names.
	Forward(ctx context.Context, to cicadapitch.Member, req cicadapitch.Request, sink func(cicadapitch.Chunk)) (cicadapitch.Answer, error)
	// Outcome asks another host for the outcome of the request that was sent
	// with a token.
	Outcome(ctx context.Context, to cicadapitch.Member, customer cicadapitch.CustomerID, token cicadapitch.Token) (idempotency.Outcome, error)
}

// NoForwarder is a Forwarder that reaches no other host. All its errors are
// OutcomeUnknown.
type NoForwarder struct{}

// Forward implements Forwarder.
func (NoForwarder) Forward(context.Context, cicadapitch.Member, cicadapitch.Request, func(cicadapitch.Chunk)) (cicadapitch.Answer, error) {
	return cicadapitch.Answer{}, ownerUnreachableError()
}

// Outcome implements Forwarder.
func (NoForwarder) Outcome(context.Context, cicadapitch.Member, cicadapitch.CustomerID, cicadapitch.Token) (idempotency.Outcome, error) {
	return idempotency.Outcome{}, ownerUnreachableError()
}

// ownerUnreachableError returns the error for a request whose owner cannot be reached.
func ownerUnreachableError() error {
	return cicadapitch.NewOutcomeUnknown("the host that the request belongs to cannot be reached")
}

// ownerGoneError returns the error for a request whose owner has ended.
func ownerGoneError() error {
	return cicadapitch.NewOutcomeUnknown("the host that the request belongs to is gone")
}
