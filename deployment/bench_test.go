package deployment_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/client"
	"cicadapitch.example/cicadapitch/deployment"
	"cicadapitch.example/cicadapitch/examples/quickstart"
)

// BenchmarkRequests runs whole requests through three daemons in this process. Use
// it for a CPU profile of the request path.
func BenchmarkRequests(b *testing.B) {
	l := startLocal(b)
	c := client.New(l.Seeds(), customerKey)
	b.SetParallelism(4)
	b.RunParallel(func(pb *testing.PB) {
		for n := 0; pb.Next(); n++ {
			req := cicadapitch.Request{Pipeline: "answer", Input: fmt.Sprint(n)}
			if _, err := c.Do(context.Background(), req, func(cicadapitch.Chunk) {}); err != nil {
				b.Error(err)
			}
		}
	})
}

// startLocal starts the quickstart deployment and stops it at the end of the test.
func startLocal(tb testing.TB) *deployment.Local {
	tb.Helper()
	l, err := deployment.NewLocal(quickstart.Questionnaire)
	require.NoError(tb, err)
	require.NoError(tb, l.Start(context.Background()))
	tb.Cleanup(l.Stop)
	require.NoError(tb, l.WaitReady(context.Background()))
	return l
}
