package gateway_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/gateway"
)

func TestLongestCallIsEstimatedFromAboveAndForgotten(t *testing.T) {
	c := gateway.NewCallTimes()
	longest := func(at cicadapitch.Instant) cicadapitch.Millis {
		m, ok := c.Longest(at, "r")
		require.Equal(t, m > 0, ok)
		return m
	}
	require.Zero(t, longest(0))
	c.Record(0, "other", 500)
	require.Zero(t, longest(0))
	c.Record(0, "r", 400)
	require.EqualValues(t, 2400, longest(0), "one call says little")
	for range 99 {
		c.Record(1000, "r", 100)
	}
	require.EqualValues(t, 420, longest(1000))
	require.EqualValues(t, 420, longest(59_000), "at least for a span")
	c.Record(59_000, "r", 50)
	require.EqualValues(t, 419, longest(59_000))
	require.EqualValues(t, 300, longest(90_000), "the slow call is forgotten")
	require.Zero(t, longest(200_000))
}
