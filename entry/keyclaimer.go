package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
)

// KeyClaimer assigns each caller's own idempotency key to the one host that may run
// its request.
type KeyClaimer interface {
	// Claim returns the claim on the key. If there is none, it claims the key for
	// this host first. An error means that this call has started nothing; an
	// earlier send of the key may have run. The error is NotRun if the store does
	// not answer or the budget of store calls is spent, and OutcomeUnknown if the
	// stored claim cannot be decoded.
	Claim(ctx context.Context, customer cicadapitch.CustomerID, key string) (idempotency.Claim, error)
}

// NoKeyClaimer is a KeyClaimer that refuses all idempotency keys with an Invalid
// error.
type NoKeyClaimer struct{}

// Claim implements KeyClaimer.
func (NoKeyClaimer) Claim(context.Context, cicadapitch.CustomerID, string) (idempotency.Claim, error) {
	return idempotency.Claim{}, cicadapitch.NewError(cicadapitch.Invalid,
		"the host takes no idempotency keys", "send a token from the directory")
}
