//go:build !race

package propagation_test

import (
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/bench/propagation"
)

// TestManyRoutesAreInForceOnEveryHostInTime guards against fetches of large configurations
// that share slow links with each other and with requests: two changes of 1,400 routes a
// second apart. With the race detector so many hosts take more processors than CI has.
func TestManyRoutesAreInForceOnEveryHostInTime(t *testing.T) {
	for _, hosts := range []int{68, 88} {
		requireInTime(t, propagation.Case{Hosts: hosts, Routes: 40, Added: 1400, Changes: 2, Gap: cicadapitch.Second, LinkMbps: 10, Traffic: 0.3})
	}
}

// TestChangesReachAllHostsWhileTheStoreRefusesSome covers a store that refuses a third of the
// hosts, those that follow it among them.
func TestChangesReachAllHostsWhileTheStoreRefusesSome(t *testing.T) {
	requireInTime(t, propagation.Case{Hosts: 68, Routes: 1400, Added: 1, Changes: 4, Gap: cicadapitch.Second, LinkMbps: 10, Traffic: 0.2, Refused: 0.35})
}
