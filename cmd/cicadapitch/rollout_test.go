package main

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/deployment"
	"cicadapitch.example/cicadapitch/examples/quickstart"
)

// TestModelOrderReachesTheEngines orders a model version and checks that each
// engine stand-in of a local deployment receives it, with a fencing number.
func TestModelOrderReachesTheEngines(t *testing.T) {
	l, err := deployment.NewLocal(quickstart.Questionnaire)
	require.NoError(t, err)
	require.NoError(t, l.Start(context.Background()))
	defer l.Stop()
	require.NoError(t, l.WaitReady(context.Background()))
	_, err = runAs(t, "sample-key-of-operator", "order", "model", "writer", "writer", "--model-version", "7",
		"--host", l.Seeds()[0])
	require.NoError(t, err)
	clock := cicadapitch.NewSystemClock()
	for id, e := range l.Engines {
		for len(e.Record().Orders) == 0 {
			require.NoError(t, clock.Sleep(context.Background(), 50))
		}
		o := e.Record().Orders[0]
		require.Equal(t, cicadapitch.ModelVersion("7"), o.Version, id)
		require.Positive(t, o.Fencing)
	}
}
