package deployment_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/client"
	"cicadapitch.example/cicadapitch/deployment"
	"cicadapitch.example/cicadapitch/examples/quickstart"
)

// TestLocalServesBothPipelines guards against a quickstart deployment that cannot
// serve its pipelines answer and book.
func TestLocalServesBothPipelines(t *testing.T) {
	l, err := deployment.NewLocal(quickstart.Questionnaire)
	require.NoError(t, err)
	require.NoError(t, l.Start(context.Background()))
	defer l.Stop()
	require.NoError(t, l.WaitReady(context.Background()))
	c := client.New(l.Seeds(), "sample-key-of-club")
	for _, p := range []cicadapitch.PipelineID{"answer", "book"} {
		a, err := c.Do(context.Background(), cicadapitch.Request{Pipeline: p, Input: "which slots are free"}, nil)
		require.NoError(t, err)
		require.NotEmpty(t, a.Output)
	}
	require.Len(t, l.Bookings("booking"), 1)
}
