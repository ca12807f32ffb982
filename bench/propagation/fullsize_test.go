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
