package membership_test

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/placement"
)

// oddHeartbeat is one with values out of range beside sound ones.
func oddHeartbeat() membership.Heartbeat {
	return membership.Heartbeat{
		Incarnation: "i", Revision: 7, Endpoints: &fleet.Claim{Revision: 7, Age: -1},
		Catalog: membership.CatalogHead{Version: 3, Age: math.MaxInt64},
		Loads:   map[cicadapitch.EndpointID]int{"a": -5, "b": 2, "c": math.MaxInt},
		Work:    map[cicadapitch.EndpointID]placement.EngineWork{"a": {Prefill: -1}, "b": {Prefill: 7, Output: 8, Held: 9}, "c": {Held: math.MaxInt64}},
		Waits:   map[string]membership.AgedWaits{"s": {Waits: []cicadapitch.Millis{math.MaxInt64}}, "t": {Waits: []cicadapitch.Millis{40}, Age: 9}, "u": {Age: math.MinInt64}},
		Down:    []membership.DownReport{{"x", math.MinInt64}, {"y", 5}}, CutOff: []membership.DownReport{{"x", -1}},
		Limits: []placement.RateLimitReport{{Endpoint: "a", Said: placement.Said{Limited: true, PerSecond: math.NaN()}}, {Endpoint: "b", Said: placement.Said{Limited: true, PerSecond: 4}}},
	}
}

// TestOddReportsOfAnotherBuildAreLeftOut covers heartbeats with values out of range.
func TestOddReportsOfAnotherBuildAreLeftOut(t *testing.T) {
	hb := oddHeartbeat().Checked()
	require.Nil(t, hb.Endpoints)
	require.Zero(t, hb.Catalog)
	require.Equal(t, map[cicadapitch.EndpointID]int{"b": 2}, hb.Loads)
	require.Equal(t, map[cicadapitch.EndpointID]placement.EngineWork{"b": {Prefill: 7, Output: 8, Held: 9}}, hb.Work)
	require.Equal(t, map[string]membership.AgedWaits{"t": {Waits: []cicadapitch.Millis{40}, Age: 9}}, hb.Waits)
	require.Equal(t, []membership.DownReport{{"y", 5}}, hb.Down)
	require.Empty(t, hb.CutOff)
	require.Len(t, hb.Limits, 1)
	require.EqualValues(t, 7, hb.Revision)
}

func FuzzHeartbeat(f *testing.F) {
	b, err := cbor.Marshal(oddHeartbeat())
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var hb membership.Heartbeat
		if cbor.Unmarshal(b, &hb) != nil {
			return
		}
		hb = hb.Checked()
		require.Equal(t, len(hb.Loads), len(hb.Checked().Loads))
		for _, n := range hb.Loads {
			require.GreaterOrEqual(t, n, 0)
		}
		for _, w := range hb.Work {
			require.True(t, w.Valid())
		}
		for _, r := range append(hb.Down, hb.CutOff...) {
			require.GreaterOrEqual(t, r.Age, cicadapitch.Millis(0))
		}
		if hb.Endpoints != nil {
			var k fleet.Knowledge
			k.Advance(hb.Endpoints.Revision)
			require.True(t, k.Hear(1<<40, 1<<40, hb.Endpoints))
			age, _ := k.Age(1 << 40)
			require.GreaterOrEqual(t, age, cicadapitch.Millis(0))
		}
	})
}

// TestHeartbeatWithoutWorkIsThatOfEarlierBuilds guards against bytes between hosts where no engine is chosen by
// work, and against a heartbeat that another build can't read.
func TestHeartbeatWithoutWorkIsThatOfEarlierBuilds(t *testing.T) {
	b, err := cbor.Marshal(membership.Heartbeat{Loads: map[cicadapitch.EndpointID]int{"e": 1}, Work: map[cicadapitch.EndpointID]placement.EngineWork{}})
	require.NoError(t, err)
	require.NotContains(t, string(b), "Work")
	var hb membership.Heartbeat
	require.NoError(t, cbor.Unmarshal(b, &hb))
	require.Empty(t, hb.Checked().Work)
	with, err := cbor.Marshal(membership.Heartbeat{
		Loads: map[cicadapitch.EndpointID]int{"e": 1}, Work: map[cicadapitch.EndpointID]placement.EngineWork{"e": {Prefill: 12_000, Output: 150, Held: 12_150}},
	})
	require.NoError(t, err)
	require.LessOrEqual(t, len(with)-len(b), 30)
	var earlier struct {
		Loads map[cicadapitch.EndpointID]int
	}
	require.NoError(t, cbor.Unmarshal(with, &earlier))
	require.Equal(t, 1, earlier.Loads["e"])
}
