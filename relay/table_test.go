package relay_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/relay"
)

const (
	start cicadapitch.Instant = 1_000_000
	a                         = "10.0.0.1:80"
)

// TestOnlyARelayShowsThatThisHostIsCutOff guards against hosts that take an endpoint which has
// ended for a cut of their own, and the other way round.
func TestOnlyARelayShowsThatThisHostIsCutOff(t *testing.T) {
	table := relay.NewTable(nil)
	require.Equal(t, relay.Direct, table.State(start, a))
	table.RecordDirect(start, a, false)
	require.Equal(t, relay.Direct, table.State(start, a))
	table.RecordRelayed(start, a, true)
	require.Equal(t, relay.Relayed, table.State(start, a))
	table.RecordDirect(start.Add(10), a, true)
	require.Equal(t, relay.Direct, table.State(start.Add(10), a))
}

func TestEndpointThatNobodyReachesIsNotRelayedForATime(t *testing.T) {
	table := relay.NewTable(nil)
	table.RecordDirect(start, a, false)
	table.RecordRelayed(start, a, false)
	require.Equal(t, relay.Down, table.State(start.Add(999), a))
	require.Equal(t, relay.Direct, table.State(start.Add(1000), a))
}

// TestDirectAttemptThatFailsAfterTheRelaySucceeded covers a relay that is faster than the
// timeout of the direct attempt.
func TestDirectAttemptThatFailsAfterTheRelaySucceeded(t *testing.T) {
	table := relay.NewTable(nil)
	table.RecordRelayed(start.Add(160), a, true)
	require.Equal(t, relay.Direct, table.State(start.Add(160), a))
	table.RecordDirect(start.Add(1000), a, false)
	require.Equal(t, relay.Relayed, table.State(start.Add(1000), a))
}

func TestSlowConnectionsOfAnEndpointThatAnswersAreNotHedged(t *testing.T) {
	table := relay.NewTable(nil)
	require.True(t, table.MayHedge(start, a))
	table.RecordDirect(start, a, true)
	require.False(t, table.MayHedge(start.Add(499), a))
	require.True(t, table.MayHedge(start.Add(500), a))
}

func TestRelayedPathsAreTestedLessAndLessOften(t *testing.T) {
	table := relay.NewTable(nil)
	table.RecordDirect(start, a, false)
	table.RecordRelayed(start, a, true)
	now := start
	var pauses []cicadapitch.Millis
	for last := start; len(pauses) < 5; now = now.Add(50) {
		if len(table.Due(now)) == 0 {
			continue
		}
		pauses = append(pauses, now.Sub(last))
		last = now
		table.RecordDirect(now, a, false)
	}
	require.Equal(t, []cicadapitch.Millis{500, 1000, 2000, 4000, 4000}, pauses)
}

func TestHostIsCutOffOnceHalfOfTheEndpointsAreRelayed(t *testing.T) {
	var changes []relay.Change
	table := relay.NewTable(func(c relay.Change) { changes = append(changes, c) })
	addresses := []string{"a", "b", "c", "d"}
	for i, want := range []bool{false, true, true, true} {
		table.RecordDirect(start, addresses[i], false)
		table.RecordRelayed(start, addresses[i], true)
		require.Equal(t, want, table.CutOff(addresses))
	}
	require.Len(t, changes, 4)
	require.False(t, table.CutOff(addresses[:1]), "a single endpoint says little")
}
