package membership_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/membership"
)

// TestWhatAHostHearsReachesAllWithinThreeHeartbeats covers the hosts that a host exchanges heartbeats with,
// those that send theirs to it included.
func TestWhatAHostHearsReachesAllWithinThreeHeartbeats(t *testing.T) {
	for _, n := range []int{2, 13, 17, 88, 129, 195, 340} {
		var hosts []fleet.Host
		for i := range n {
			hosts = append(hosts, fleet.Host{Incarnation: fmt.Sprintf("%016x", i*7919)})
		}
		heard := map[string][]string{}
		for _, h := range hosts {
			for _, to := range membership.HeartbeatTargets(h.Incarnation, hosts) {
				heard[h.Incarnation] = append(heard[h.Incarnation], to.Incarnation)
				heard[to.Incarnation] = append(heard[to.Incarnation], h.Incarnation)
			}
		}
		for _, h := range hosts {
			reached, last := map[string]bool{h.Incarnation: true}, []string{h.Incarnation}
			for range 3 {
				var next []string
				for _, from := range last {
					for _, to := range heard[from] {
						if !reached[to] {
							reached[to] = true
							next = append(next, to)
						}
					}
				}
				last = next
			}
			require.Equal(t, n, len(reached), "%d hosts", n)
		}
	}
}
