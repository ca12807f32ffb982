package deployment_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/load"
)

// TestLoadChecksWholeAnswers sends the same plan through the hosts and straight
// to the endpoints; both must give the answers that the stand-ins make.
func TestLoadChecksWholeAnswers(t *testing.T) {
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

// TestNoRequestWaitsForItsDeadline sends a load that the endpoints bear with
// ease. A request that is given up on, or that waits in a queue until its 9 s
// are over, takes far longer than half of them.
func TestNoRequestWaitsForItsDeadline(t *testing.T) {
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
