// Package soak holds a randomized test of hosts that run as separate processes. It
// kills, terminates and pauses them, impairs their connections to the store and to
// endpoints and changes the configuration. It then checks that callers got complete
// responses of their own, that refused requests did not run and that requests which
// may run once did not run twice.
//
//	go test ./soak                                    two short seeds, as in CI
//	SOAK_SEEDS=50 SOAK_FIRST=100 go test -timeout 2h ./soak
package soak
