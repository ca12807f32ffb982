package booking

import "cicadapitch.example/cicadapitch"

// Claim is the right of one incarnation to run a caller's idempotency key.
type Claim struct {
	Host        cicadapitch.HostID
	Incarnation cicadapitch.Incarnation
	Address     string
	// ClaimedAt is by the clock of the claiming host.
	ClaimedAt cicadapitch.Instant
}
