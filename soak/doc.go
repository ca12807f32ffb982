// Package soak holds a randomized test of hosts that run as separate processes. It
// kills, terminates and pauses them, impairs their connections to the store and to
// endpoints and changes the configuration. It then checks that callers got complete
// responses to their own requests, that refused requests did not run and that requests
// which may run once did not run twice.
//
// SOAK_FIRST is the first seed, SOAK_SEEDS the number of seeds and SOAK_SECONDS the time
// of faults per seed.
//
//	go test ./soak                                    two short seeds, as in CI
//	SOAK_SEEDS=50 SOAK_FIRST=100 go test -timeout 2h ./soak
package soak
