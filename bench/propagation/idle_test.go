//go:build !race

package propagation_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/bench/propagation"
)

const (
	// maxIdleReads is the number of reads of the store in a second by all hosts of an idle fleet:
	// the watches of small fleets or of the hosts that watch for a large one, and a question every 0.4 s.
	maxIdleReads = 12/2.5 + 1/0.4 + 1
	// maxStartCalls is the number of calls to the store with which a host of a large fleet starts: the
	// keys, what has changed since, its lease and its entry, and two more until it hears of others.
	// fleetStartCalls are those of the hosts that watch for all, maxSmallStartCalls is the number in a
	// fleet whose hosts all watch.
	maxStartCalls, fleetStartCalls = 6, 60
	maxSmallStartCalls             = 16
	// maxIdleAge is how old knowledge of the endpoints may be that a request is sent on.
	maxIdleAge = cicadapitch.Second
)

// TestStoreCallsOfAnIdleFleetDoNotGrowWithItsHosts guards against hosts that each ask the store for what
// they could hear from one another.
func TestStoreCallsOfAnIdleFleetDoNotGrowWithItsHosts(t *testing.T) {
	for _, hosts := range []int{8, 18, 68} {
		r, err := propagation.RunIdle(propagation.Case{Hosts: hosts, Routes: 20, LinkMbps: 100}, 8*cicadapitch.Second)
		require.NoError(t, err)
		t.Logf("%+v", r)
		require.LessOrEqual(t, r.ReadsPerSecond, maxIdleReads, "%d hosts", hosts)
		maxCalls := maxSmallStartCalls * hosts
		if hosts > 18 {
			maxCalls = maxStartCalls*hosts + fleetStartCalls
		}
		require.LessOrEqual(t, r.StartCalls, int64(maxCalls), "%d hosts", hosts)
		require.LessOrEqual(t, r.Knowledge.P99, maxIdleAge, "%d hosts", hosts)
	}
}
