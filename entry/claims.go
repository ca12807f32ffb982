package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
)

// Claims assigns each caller's own idempotency key to the one host that may run its
// request.
type Claims interface {
	// Claim returns the claim on the key. If there is none, it claims the key for
	// this host first. An error means that nothing has started. It is NotRun if
	// the store does not answer or the budget of store calls is spent.
	Claim(ctx context.Context, customer cicadapitch.CustomerID, key string) (idempotency.Claim, error)
}

// NoClaims is a Claims that refuses all idempotency keys with an Invalid error.
type NoClaims struct{}

// Claim implements Claims.
func (NoClaims) Claim(context.Context, cicadapitch.CustomerID, string) (idempotency.Claim, error) {
	return idempotency.Claim{}, cicadapitch.NewError(cicadapitch.Invalid,
		"the host takes no idempotency keys", "send a token from the directory")
}
