package propagation_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/bench/propagation"
)

// maxPropagation is the time within which an acknowledged configuration has to be in force
// on every host.
const maxPropagation = 3 * cicadapitch.Second

// TestManyRoutesAreInForceOnEveryHostInTime guards against fetches of large configurations
// that share slow links with each other and with requests: two changes of 1,400 routes a
// second apart.
func TestManyRoutesAreInForceOnEveryHostInTime(t *testing.T) {
	for _, hosts := range []int{68, 88} {
		c := propagation.Case{Hosts: hosts, Routes: 40, Added: 1400, Changes: 2, Gap: cicadapitch.Second, LinkMbps: 10, Traffic: 0.3}
		r, err := propagation.Run(c)
		require.NoError(t, err, c)
		t.Logf("%v: %+v", c, r)
		require.LessOrEqual(t, r.Worst, maxPropagation, c)
		require.False(t, r.Regressed, c)
	}
}
