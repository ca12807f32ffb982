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
	// twelve watches that are asked again every 2.5 s, and a question every 0.4 s.
	maxIdleReads = 12/2.5 + 1/0.4 + 1
	// maxStartCalls is the number of calls to the store with which a host starts: the keys, its lease
	// and its entry, and what it watches until it hears of others.
	maxStartCalls = 16
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
		require.LessOrEqual(t, r.StartCalls, int64(maxStartCalls*hosts), "%d hosts", hosts)
		require.LessOrEqual(t, r.Knowledge.P99, maxIdleAge, "%d hosts", hosts)
	}
}
