package endpoint_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
)

// TestIdleEndpointIsProbedDespiteItsEstimate makes calls so slow that the
// latency estimate exceeds every deadline. Once the endpoint is idle, one job
// must still start on it: else the estimate would never be corrected.
func TestIdleEndpointIsProbedDespiteItsEstimate(t *testing.T) {
	h := newHarness(1, 1, 8)
	h.warmUp("a")
	for range 20 {
		h.submitMany(1)
		h.finish(cicadapitch.Minute, endpoint.Succeeded)
	}
	h.now = h.now.Add(2 * cicadapitch.Second)
	first := h.submit(9 * cicadapitch.Second)
	require.Contains(t, h.running, first)
	second := h.submit(9 * cicadapitch.Second)
	require.NotContains(t, h.running, second)
}
