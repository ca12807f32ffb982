package membership_test

import (
	"testing"

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
