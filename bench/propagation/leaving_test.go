//go:build !race

package propagation_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/bench/propagation"
)

// maxLeaving is the time after an endpoint has said that it leaves within which the last
// request has to reach it.
const maxLeaving = 2 * cicadapitch.Second

// TestLeavingReachesEveryBusyHostInTime guards against the word of a leaving endpoint that
// waits behind large changes of the configuration and behind requests, on links that are
// nearly full.
func TestLeavingReachesEveryBusyHostInTime(t *testing.T) {
	c := propagation.LeavingCase{
		// A quarter of the users' links and changes: they are as full, with a quarter of the work
		// for the machine.
		Case:      propagation.Case{Hosts: 88, Routes: 10, Added: 350, Changes: 2, Gap: 1150, LinkMbps: 2.5, Traffic: 0.9},
		Endpoints: 20, Leaving: 10, LeaveGap: 500, Requests: 3, ConnectDelay: 800,
	}
	r, err := propagation.RunLeaving(c)
	require.NoError(t, err)
	t.Logf("%+v", r)
	require.LessOrEqual(t, r.Known.Worst, maxLeaving)
	require.LessOrEqual(t, r.LastRequest.Worst, maxLeaving)
}

// TestHostsThatHearLateDoNotSendToEndpointsThatHaveLeft guards against hosts that believe what
// they know while notices and heartbeats reach them seconds late, as with a full processor.
func TestHostsThatHearLateDoNotSendToEndpointsThatHaveLeft(t *testing.T) {
	for name, c := range map[string]struct {
		lateStore bool
		// minServed is the least share of the requests to hosts that are late that is served.
		minServed float64
	}{
		"other hosts are late": {false, 0.9},
		// Such a host knows nothing in time and has to reject.
		"other hosts and the store are late": {true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r, err := propagation.RunLeaving(propagation.LeavingCase{
				Case:      propagation.Case{Hosts: 24, Routes: 10, LinkMbps: 10},
				Endpoints: 12, Leaving: 4, LeaveGap: 500, Requests: 5, Late: 6, LateBy: 4000, LateStore: c.lateStore,
			})
			require.NoError(t, err)
			t.Logf("%+v", r)
			require.LessOrEqual(t, r.LastRequest.Worst, maxLeaving)
			require.GreaterOrEqual(t, r.LateServed, c.minServed)
			require.GreaterOrEqual(t, r.Served, 0.7)
		})
	}
}
