package placement_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/placement"
)

// TestLeavingEndpointStaysSoUntilItRestarts guards against an endpoint that is used again
// since a late answer does not say that it leaves, its entry came back, or a host reports an
// older limit.
func TestLeavingEndpointStaysSoUntilItRestarts(t *testing.T) {
	a, b := placement.NewRateLimits(), placement.NewRateLimits()
	e := catalog.Endpoint{ID: "e0", Started: 1}
	b.Record(start, start, e, placement.Said{Limited: true, PerSecond: 2})
	a.RecordLeaving(start.Add(10), e)
	a.Record(start.Add(20), start.Add(15), e, placement.Said{})
	a.Merge(start.Add(400), b.Reports(start.Add(400)))
	b.Merge(start.Add(400), a.Reports(start.Add(380)))
	a.Retain(start.Add(500), func(cicadapitch.EndpointID) bool { return false })
	for _, l := range []*placement.RateLimits{a, b} {
		limit, ok := l.Of(e)
		require.True(t, ok)
		require.Zero(t, limit)
	}
	_, ok := a.Of(catalog.Endpoint{ID: "e0", Started: 2})
	require.False(t, ok)
	a.Retain(start.Add(2*cicadapitch.Minute), func(cicadapitch.EndpointID) bool { return false })
	require.Empty(t, a.Reports(start.Add(2*cicadapitch.Minute)))
}

func TestPausedEndpointsAreNotChosen(t *testing.T) {
	c := chooser()
	criteria := placement.Criteria{Service: &catalog.Service{Name: "booking"}, Hosts: 1}
	list := endpoints(2)
	c.Health(list[0].ID).Pause(start.Add(1000))
	for range 5 {
		e, ok := c.ChoosePlain(start, list, criteria)
		require.True(t, ok)
		require.Equal(t, list[1].ID, e.ID)
	}
	require.Zero(t, c.ShortestPause(start, list))
	c.Health(list[1].ID).Pause(start.Add(400))
	_, ok := c.ChoosePlain(start, list, criteria)
	require.False(t, ok)
	require.Equal(t, cicadapitch.Millis(400), c.ShortestPause(start, list))
	_, ok = c.ChoosePlain(start.Add(400), list, criteria)
	require.True(t, ok)
}
