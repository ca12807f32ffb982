package daemon_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/daemon"
	"cicadapitch.example/cicadapitch/endpoint"
)

// TestRestartedOwnerReportsOutcomeUnknown guards against a restarted process that
// reports an attempt of the previous process as not run. The new process does not
// know that attempt, which may have run.
func TestRestartedOwnerReportsOutcomeUnknown(t *testing.T) {
	clock := cicadapitch.NewManualClock(1000)
	holds := func(cicadapitch.ShardID) (cicadapitch.FencingNumber, bool) { return 1, true }
	owner := endpoint.NewOwner(configuration.NewFollower(clock), nil, holds, clock)
	self := cicadapitch.Member{Host: "host-a", Incarnation: 2}
	id := cicadapitch.AttemptID{Request: "r", Stage: "book", Number: 1}

	_, err := daemon.AttemptOutcome(self, owner, daemon.AttemptOutcomeQuery{Incarnation: 1, Attempt: id})
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))

	state, err := daemon.AttemptOutcome(self, owner, daemon.AttemptOutcomeQuery{Incarnation: 2, Attempt: id})
	require.NoError(t, err)
	require.Equal(t, cicadapitch.Refused, state.Phase)
}
