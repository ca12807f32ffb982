package endpoint_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
)

// TestPausedEndpointFinishesItsCallsAndResumesCold pauses an endpoint with a
// running call. The endpoint must get no new calls, become idle after the
// running one, and start cold after Resume.
func TestPausedEndpointFinishesItsCallsAndResumesCold(t *testing.T) {
	h := newHarness(2, 1, 8)
	h.warmUp("a", "b")
	first := h.submit(cicadapitch.Minute)
	paused := h.running[first]
	require.False(t, h.state.Pause(paused))
	for range 5 {
		id := h.submit(cicadapitch.Minute)
		require.NotEqual(t, paused, h.running[id])
	}
	h.apply(h.state.Finish(h.now+10, endpoint.CallEnd{Attempt: first, Outcome: endpoint.Succeeded}))
	require.True(t, h.state.Pause(paused))
	require.Equal(t, cicadapitch.Slots(8), h.state.Load(h.now+10).Total)
	h.apply(h.state.Resume(h.now+20, paused))
	require.Equal(t, cicadapitch.Slots(8+1), h.state.Load(h.now+20).Total)
}
