// Package soak holds a randomized test of whole hosts as separate processes. It
// kills, stops and pauses them, harms their connections to the store and to
// endpoints, changes the configuration, and checks from what callers and endpoints
// see that promises hold.
//
//	go test ./soak                                    two short seeds, as in CI
//	SOAK_SEEDS=50 SOAK_FIRST=100 go test -timeout 2h ./soak
package soak
