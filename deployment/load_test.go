package deployment_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/load"
)

// TestHostsReturnSameAnswersAsEndpoints guards against hosts that return wrong or
// incomplete answers. It runs the same load plan through the hosts and directly
// against the endpoints. Both must return the whole answers that the stand-ins
// generate.
func TestHostsReturnSameAnswersAsEndpoints(t *testing.T) {
	l := startLocal(t)
	keyOf := func(id cicadapitch.CustomerID) string { return "sample-key-of-" + string(id) }
	plan := load.Plan{
		Rate: 20, Length: cicadapitch.Minute, MaxRequests: 40, Seed: 1,
		Callers:   load.CallersOf(l.Configuration, keyOf),
		Pipelines: load.PipelinesOf(l.Configuration, true),
	}
	for name, sender := range map[string]load.Option{
		"hosts": load.WithSeeds(l.Seeds()), "direct": load.WithSender(load.NewDirectSender(l.Configuration)),
	} {
		s, err := load.NewGenerator(plan, sender).Run(context.Background())
		require.NoError(t, err)
		require.EqualValues(t, 40, s.All.Sent, name)
		require.Positive(t, s.All.Answered, name)
		require.Zero(t, s.All.Wrong, name)
		require.Equal(t, s.All.Answered, s.All.FirstToken.Count, name)
	}
}

// TestRequestsEndWithinHalfTheirDeadline guards against requests that are lost or
// wait in a queue until their deadline of 9 s. The load is far below the capacity
// of the endpoints, so no request should take even half of its deadline.
func TestRequestsEndWithinHalfTheirDeadline(t *testing.T) {
	l := startLocal(t)
	keyOf := func(id cicadapitch.CustomerID) string { return "sample-key-of-" + string(id) }
	pipelines := load.PipelinesOf(l.Configuration, true)
	plan := load.Plan{
		Rate: 20, Length: cicadapitch.Minute, MaxRequests: 60, Seed: 2,
		Callers: load.CallersOf(l.Configuration, keyOf), Pipelines: pipelines,
	}
	s, err := load.NewGenerator(plan, load.WithSeeds(l.Seeds())).Run(context.Background())
	require.NoError(t, err)
	half := pipelines[0].Deadline.Duration().Microseconds() / 2
	require.Less(t, s.All.Took.Max, half, "answered: %+v", s.All)
	require.Less(t, s.All.Refused.Max, half, "refused: %+v", s.All)
}
