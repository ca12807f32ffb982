package membership_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/placement"
	"cicadapitch.example/cicadapitch/platform"
)

// TestEngineReportsOfSilentHostsAreLeftOut guards against work that counts after its host has ended, and
// against a sum that is kept for long.
func TestEngineReportsOfSilentHostsAreLeftOut(t *testing.T) {
	clock := cicadapitch.NewManualClock(1_000_000)
	m := membership.New(&platform.Settings{Host: "h"}, membership.WithClock(clock))
	require.Empty(t, m.EngineReports().Calls)
	heartbeat := func(incarnation string, work map[cicadapitch.EndpointID]placement.EngineWork) membership.Heartbeat {
		return membership.Heartbeat{Incarnation: incarnation, Loads: map[cicadapitch.EndpointID]int{"e": 2}, Work: work}
	}
	known := map[cicadapitch.EndpointID]placement.EngineWork{"e": {Prefill: 5000, Output: 300, Held: 5300}}
	m.AddHeartbeat(heartbeat("new", known), clock.Now())
	m.AddHeartbeat(heartbeat("earlier build", nil), clock.Now())
	m.AddHeartbeat(heartbeat("silent", known), clock.Now().Add(-1600))
	require.Empty(t, m.EngineReports().Calls, "the sum is kept")
	clock.Advance(50)
	r := m.EngineReports()
	require.Equal(t, map[cicadapitch.EndpointID]int{"e": 4}, r.Calls)
	require.Equal(t, r.Calls, m.Loads())
	require.Equal(t, placement.ReportedWork{EngineWork: known["e"], Calls: 4, UnknownCalls: 2}, r.Work["e"])
	require.EqualValues(t, 50, r.Age)
	clock.Advance(1600)
	require.Empty(t, m.EngineReports().Calls)
}

// TestEngineWorkReachesOtherHosts guards against heartbeats that leave the sender's work out.
func TestEngineWorkReachesOtherHosts(t *testing.T) {
	a, b := membership.New(&platform.Settings{Host: "a"}), membership.New(&platform.Settings{Host: "b"})
	work := map[cicadapitch.EndpointID]placement.EngineWork{"e": {Prefill: 12_000, Output: 150, Held: 12_150}}
	a.SetLoadSources(func() map[cicadapitch.EndpointID]int { return map[cicadapitch.EndpointID]int{"e": 1} },
		func() map[string][]cicadapitch.Millis { return nil })
	a.SetEngineWork(func() map[cicadapitch.EndpointID]placement.EngineWork { return work })
	sent, err := cbor.Marshal(a.NewHeartbeat())
	require.NoError(t, err)
	var hb membership.Heartbeat
	require.NoError(t, cbor.Unmarshal(sent, &hb))
	b.AddHeartbeat(hb.Checked(), cicadapitch.NewSystemClock().Now())
	require.Equal(t, placement.ReportedWork{EngineWork: work["e"], Calls: 1}, b.EngineReports().Work["e"])
}
