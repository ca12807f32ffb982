package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/placement"
)

// TestIdleConnectionsLeaveRoomAtTheEndpoint plays hosts that each keep as many idle connections as they
// may: the endpoint must have room for as many again, since hosts that lost power leave theirs open, and for calls
// that need another connection.
func TestIdleConnectionsLeaveRoomAtTheEndpoint(t *testing.T) {
	for _, accepted := range []int{60, 240, 480, 4000} {
		for _, n := range []int{1, 8, 68, 120, 195, 340, 1000} {
			var hosts []string
			for i := range n {
				hosts = append(hosts, fmt.Sprint("host-", i))
			}
			ranked := fleet.Rank("endpoint", hosts, func(h string) string { return h })
			kept := 0
			for _, h := range hosts {
				kept += placement.IdleConnections(accepted, n, func() int { return slices.Index(ranked, h) })
			}
			require.LessOrEqual(t, 2*kept, accepted*9/10, "%d hosts, %d connections", n, accepted)
			require.GreaterOrEqual(t, kept, min(n, accepted*9/20), "%d hosts, %d connections", n, accepted)
		}
	}
}

func TestEndpointsWithoutALimitOfConnectionsKeepSome(t *testing.T) {
	require.Equal(t, placement.IdleConnections(0, 340, func() int { return 339 }), placement.IdleConnections(1<<20, 1, func() int { return 0 }))
	require.Zero(t, placement.IdleConnections(240, 340, func() int { return -1 }), "a host that no other one knows yet")
}
