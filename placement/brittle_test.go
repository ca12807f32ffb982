package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

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
