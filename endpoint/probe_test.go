package endpoint_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
)

// TestIdleEndpointIsTriedAgainstItsEstimate lets calls take longer than any
// deadline for a while. Once the endpoint is idle, one job must start on it.
func TestIdleEndpointIsTriedAgainstItsEstimate(t *testing.T) {
	tb := newTable(1, 1, 8)
	tb.warm("a")
	for range 20 {
		tb.fill(1)
		tb.finish(cicadapitch.Minute, endpoint.Succeeded)
	}
	tb.now = tb.now.Add(2 * cicadapitch.Second)
	first := tb.submit(9 * cicadapitch.Second)
	require.Contains(t, tb.running, first)
	second := tb.submit(9 * cicadapitch.Second)
	require.NotContains(t, tb.running, second)
}
