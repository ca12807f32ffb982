package placement_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/placement"
)

const start cicadapitch.Instant = 1_000_000

var engines = &catalog.Service{Name: "engines", ColdPerSecond: 14, Engine: &catalog.EngineSpec{Slots: 64}}

func endpoints(n int) []fleet.Endpoint {
	var out []fleet.Endpoint
	for i := range n {
		out = append(out, fleet.Endpoint{Endpoint: catalog.Endpoint{
			ID:   cicadapitch.EndpointID(fmt.Sprintf("e%d", i)),
			Zone: cicadapitch.ZoneID(fmt.Sprintf("z%d", i%3)),
		}})
	}
	return out
}

func chooser() *placement.Chooser { return placement.NewChooser("z0", 1.5, 5) }

func TestSessionGetsTheSameEngineOnEveryHost(t *testing.T) {
	criteria := placement.Criteria{Service: engines, Session: "s1", Hosts: 6}
	first, ok := chooser().ChooseEngine(start, endpoints(9), criteria)
	require.True(t, ok)
	for range 5 {
		e, ok := chooser().ChooseEngine(start, endpoints(9), criteria)
		require.True(t, ok)
		require.Equal(t, first.ID, e.ID)
	}
}

func TestBusySessionSpreadsOverSeveralEngines(t *testing.T) {
	c := chooser()
	used := map[cicadapitch.EndpointID]int{}
	now := start
	for range 40 {
		now = now.Add(400)
		e, ok := c.ChooseEngine(now, endpoints(9), placement.Criteria{Service: engines, Session: "hot", Hosts: 6})
		require.True(t, ok)
		c.RecordStart(e.ID)
		used[e.ID]++
	}
	require.Greater(t, len(used), 1)
	for id, n := range used {
		require.LessOrEqual(t, n, 20, "%s got more than half of the calls", id)
	}
}

func TestColdRateLimitHoldsOverAllHosts(t *testing.T) {
	for _, hosts := range []int{1, 6, 9, 30, 88} {
		cold := endpoints(1)
		cold[0].WarmAt = start.Add(60_000)
		choosers := make([]*placement.Chooser, hosts)
		for i := range choosers {
			choosers[i] = chooser()
		}
		var starts []cicadapitch.Instant
		for at := cicadapitch.Millis(0); at < 5000; at += 10 {
			for i, c := range choosers {
				e, ok := c.ChooseEngine(start.Add(at), cold, placement.Criteria{
					Service: engines, Session: "s", Hosts: hosts,
					Rank: func(string) int { return i },
				})
				if ok {
					c.RecordStart(e.ID)
					starts = append(starts, start.Add(at))
				}
			}
		}
		require.NotEmpty(t, starts)
		for i := range starts {
			n := 0
			for _, s := range starts[i:] {
				if s.Sub(starts[i]) < cicadapitch.Second {
					n++
				}
			}
			require.LessOrEqual(t, n, 26, "%d hosts, second from %d ms", hosts, starts[i].Sub(start))
		}
	}
}

func TestFailingEndpointIsEjectedAndRetriedLater(t *testing.T) {
	c := chooser()
	plain := &catalog.Service{Name: "booking"}
	criteria := placement.Criteria{Service: plain, Hosts: 6}
	e, _ := c.ChoosePlain(start, endpoints(3), criteria)
	c.Health(e.ID).RecordFailure(start, 1)
	c.Health(e.ID).RecordFailure(start, 1)
	other, ok := c.ChoosePlain(start, endpoints(3), criteria)
	require.True(t, ok)
	require.NotEqual(t, e.ID, other.ID)
	require.False(t, c.Health(e.ID).Ejected(start.Add(10_000)))
}

func TestOnlyEndpointIsUsedEvenIfEjected(t *testing.T) {
	c := chooser()
	only := endpoints(1)
	for range 5 {
		c.Health(only[0].ID).RecordFailure(start, 1)
	}
	_, ok := c.ChoosePlain(start, only, placement.Criteria{Service: &catalog.Service{Name: "booking"}, Hosts: 1})
	require.True(t, ok)
}

func TestSlowEndpointIsAvoided(t *testing.T) {
	c := chooser()
	criteria := placement.Criteria{Service: &catalog.Service{Name: "booking"}, Hosts: 1}
	all := endpoints(3)
	for _, e := range all {
		took := cicadapitch.Millis(30)
		if e.ID == "e0" {
			took = 300
		}
		for range 5 {
			c.Health(e.ID).RecordSuccess(start, took)
		}
	}
	for range 10 {
		e, _ := c.ChoosePlain(start, all, criteria)
		require.NotEqual(t, cicadapitch.EndpointID("e0"), e.ID)
	}
}

func TestRetriesOfAllHostsStayWithinTheBudget(t *testing.T) {
	const hosts = 6
	budgets := make([]*placement.RetryBudget, hosts)
	for i := range budgets {
		budgets[i] = placement.NewRetryBudget(0.2, 52, 10_000)
	}
	retries := 0
	for at := cicadapitch.Millis(0); at < 10_000; at += 100 {
		for _, b := range budgets {
			b.RecordRequest(start.Add(at))
			for b.AllowRetry(start.Add(at), hosts) {
				retries++
			}
		}
	}
	require.Greater(t, retries, 30)
	require.LessOrEqual(t, float64(retries), 0.2*hosts*100+52)
}

// TestLeavingHostSendsNoneToEndpointsWithAFewSenders guards against a further sender at a
// cold or limited endpoint: a host that leaves has no rank among the others any more.
func TestLeavingHostSendsNoneToEndpointsWithAFewSenders(t *testing.T) {
	criteria := placement.Criteria{Service: engines, Session: "s", Hosts: 6, Rank: func(string) int { return -1 }}
	cold := endpoints(1)
	cold[0].WarmAt = start.Add(60_000)
	_, ok := chooser().ChooseEngine(start, cold, criteria)
	require.False(t, ok)
	limits := placement.NewRateLimits()
	limits.Record(start, start, cold[0].Endpoint, placement.Said{Limited: true, PerSecond: 1})
	limited := chooser()
	limited.SetRateLimits(limits)
	_, ok = limited.ChooseEngine(start, endpoints(1), criteria)
	require.False(t, ok)
	_, ok = chooser().ChooseEngine(start, endpoints(1), criteria)
	require.True(t, ok, "warm endpoints have no such senders")
}
