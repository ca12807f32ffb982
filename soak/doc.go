// Package soak holds randomized tests of hosts that run as separate processes.
//
// TestSoak kills, terminates and pauses them, impairs their connections to the store and
// to endpoints, makes endpoints silent and changes the configuration. It then checks that callers got complete
// responses to their own requests, that refused requests did not run and that requests
// which may run once did not run twice.
//
// TestPlannedStops stops hosts as planned, several at once and in series that overlap,
// beside signals, changes of the configuration and endpoints that are slow or silent.
// Callers use open connections until the process is gone. Besides the checks of TestSoak,
// no request that a host has passed on may end without its whole answer.
//
// SOAK_FIRST is the first seed, SOAK_SEEDS the number of seeds and SOAK_SECONDS the time
// of faults per seed. SOAK_HOSTS and SOAK_CALLERS are the size of TestPlannedStops.
//
//	go test ./soak                                    short seeds, as in CI
//	SOAK_SEEDS=50 SOAK_FIRST=100 go test -timeout 2h ./soak
//	SOAK_SEEDS=50 SOAK_HOSTS=24 go test -timeout 2h -run TestPlannedStops$ ./soak
package soak
