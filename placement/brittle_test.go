package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/placement"
)

// TestHostsTogetherKeepBrittleEndpointsFromQueueing fills a brittle endpoint from all hosts of
// a fleet.
func TestHostsTogetherKeepBrittleEndpointsFromQueueing(t *testing.T) {
	service := &catalog.Service{Name: "plain"}
	for _, n := range []int{1, 3, 8, 88} {
		for _, slots := range []int{1, 6, 64} {
			e := fleet.Endpoint{Endpoint: catalog.Endpoint{ID: "e", Service: "plain", Slots: slots}}
			var hosts []string
			for i := range n {
				hosts = append(hosts, fmt.Sprint("host-", i))
			}
			started := 0
			for _, self := range hosts {
				limits := placement.NewRateLimits()
				limits.Record(start, start, e.Endpoint, placement.Said{Brittle: true, Refusals: 2})
				c := chooser()
				c.SetRateLimits(limits)
				rank := func(key string) int {
					return slices.Index(fleet.Rank(key, hosts, func(h string) string { return h }), self)
				}
				for range 100 {
					criteria := placement.Criteria{Service: service, Hosts: n, Rank: rank}
					if _, ok := c.ChoosePlain(start, []fleet.Endpoint{e}, criteria); ok {
						c.RecordStart(e.ID)
						started++
					}
				}
			}
			require.LessOrEqual(t, started, slots, "%d hosts", n)
			require.GreaterOrEqual(t, started, max(slots/2, 1), "%d hosts, %d slots", n, slots)
		}
	}
}

// TestRefusalsOfABrittleEndpointKeepTheHostAway covers the pause after a refusal, by which all
// hosts together keep to the refusals that the endpoint bears.
func TestRefusalsOfABrittleEndpointKeepTheHostAway(t *testing.T) {
	e := fleet.Endpoint{Endpoint: catalog.Endpoint{ID: "e", Service: "plain", Slots: 8}}
	criteria := placement.Criteria{Service: &catalog.Service{Name: "plain"}, Hosts: 4}
	limits := placement.NewRateLimits()
	c := chooser()
	c.SetRateLimits(limits)
	c.RecordRefusal(start, e, criteria)
	require.False(t, c.Paused(start, e.ID), "the endpoint is not brittle")
	limits.Record(start, start, e.Endpoint, placement.Said{Brittle: true, Refusals: 5})
	c.RecordRefusal(start, e, criteria)
	require.True(t, c.Paused(start.Add(1999), e.ID))
	require.False(t, c.Paused(start.Add(2000), e.ID))
}

// TestRestartedBrittleEndpointIsPresumedBrittle guards against hosts that push an endpoint over
// again between its restart and its first answer.
func TestRestartedBrittleEndpointIsPresumedBrittle(t *testing.T) {
	before := catalog.Endpoint{ID: "e", Service: "plain", Slots: 8, Started: 1}
	restarted, other := before, catalog.Endpoint{ID: "o", Service: "other", Slots: 8}
	restarted.Started = 2
	replaced := catalog.Endpoint{ID: "r", Service: "plain", Slots: 8, Started: 3}
	limits, remote := placement.NewRateLimits(), placement.NewRateLimits()
	limits.Record(start, start, before, placement.Said{Brittle: true, Refusals: 2})
	remote.Merge(start, limits.Reports(start))
	for _, l := range []*placement.RateLimits{limits, remote} {
		l.Retain(start, func(cicadapitch.EndpointID) bool { return false })
		for _, e := range []catalog.Endpoint{restarted, replaced} {
			refusals, brittle := l.Refusals(e)
			require.True(t, brittle)
			require.EqualValues(t, 2, refusals)
		}
		_, brittle := l.Refusals(other)
		require.False(t, brittle)
		l.Record(start.Add(10), start.Add(5), restarted, placement.Said{})
		_, brittle = l.Refusals(restarted)
		require.False(t, brittle, "the process has answered without saying so")
		_, brittle = l.Refusals(replaced)
		require.True(t, brittle)
		l.Record(start.Add(cicadapitch.Minute), start.Add(cicadapitch.Minute), other, placement.Said{Limited: true, PerSecond: 1})
		_, brittle = l.Refusals(replaced)
		require.False(t, brittle, "no endpoint has said so for long")
	}
}
