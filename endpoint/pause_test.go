package endpoint_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
)

// TestPausedEndpointEndsItsWorkAndStartsCold pauses an endpoint that has work.
func TestPausedEndpointEndsItsWorkAndStartsCold(t *testing.T) {
	tb := newTable(2, 1, 8)
	tb.warm("a", "b")
	first := tb.submit(cicadapitch.Minute)
	paused := tb.running[first]
	require.False(t, tb.state.Pause(paused))
	for range 5 {
		id := tb.submit(cicadapitch.Minute)
		require.NotEqual(t, paused, tb.running[id])
	}
	tb.take(tb.state.Finish(tb.now+10, endpoint.CallEnd{Attempt: first, Outcome: endpoint.Succeeded}))
	require.True(t, tb.state.Pause(paused))
	require.Equal(t, cicadapitch.Slots(8), tb.state.Load(tb.now+10).Total)
	tb.take(tb.state.Resume(tb.now+20, paused))
	require.Equal(t, cicadapitch.Slots(8+1), tb.state.Load(tb.now+20).Total)
}
