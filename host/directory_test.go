package host_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/host"
)

// readyHosts returns n ready hosts, distributed in turn over three zones in two
// regions.
func readyHosts(n int) []cicadapitch.Member {
	return lo.Times(n, func(i int) cicadapitch.Member {
		return cicadapitch.Member{
			Host:     cicadapitch.HostID(fmt.Sprintf("entry-%02d", i)),
			Zone:     cicadapitch.ZoneID(fmt.Sprintf("zone-%d", i%3)),
			Region:   cicadapitch.RegionID(fmt.Sprintf("region-%d", i%3/2)),
			State:    cicadapitch.Ready,
			Revision: 1,
		}
	})
}

func hostIDs(l host.Listing) []cicadapitch.HostID {
	return lo.Map(l.Hosts, func(m cicadapitch.Member, _ int) cicadapitch.HostID { return m.Host })
}

func TestSelectHostsOmitsHostsThatTakeNoCallers(t *testing.T) {
	cfg := &cicadapitch.Configuration{
		Zones: []cicadapitch.Zone{{ID: "zone-0"}, {ID: "zone-1", Out: true}},
		Hosts: []cicadapitch.HostSetting{{ID: "entry-02", Out: true}, {ID: "entry-00"}},
	}
	members := readyHosts(9)
	members[3].State = cicadapitch.Leaving
	members[5].State = cicadapitch.Suspect
	members[6].State = cicadapitch.Starting
	members[8].Revision = 0
	got := hostIDs(host.SelectHosts(members, cfg, host.Query{Caller: "c"}))
	require.ElementsMatch(t, []cicadapitch.HostID{"entry-00"}, got)
	require.Empty(t, host.SelectHosts(members, nil, host.Query{}).Hosts, "without a configuration no host takes callers")
}

func TestSelectHostsListsNearestHostsFirst(t *testing.T) {
	q := host.Query{Caller: "c", Zone: "zone-1", Region: "region-0"}
	listing := host.SelectHosts(readyHosts(9), &cicadapitch.Configuration{}, q)
	zones := lo.Map(listing.Hosts, func(m cicadapitch.Member, _ int) cicadapitch.ZoneID { return m.Zone })
	require.Equal(t, []cicadapitch.ZoneID{"zone-1", "zone-0", "zone-2"}, slices.Compact(zones))
	require.Positive(t, listing.TTL)
	q.Limit = 2
	require.Equal(t, hostIDs(listing)[:2], hostIDs(host.SelectHosts(readyHosts(9), &cicadapitch.Configuration{}, q)))
}

// busiestShare runs rounds in which each caller picks a host by order, from
// running counts that are lag rounds old. It returns the largest number of
// callers at one host in any round, divided by the mean per host.
func busiestShare(lag int, order func([]cicadapitch.Member, host.Query) cicadapitch.HostID) float64 {
	const hosts, callers, rounds = 34, 1020, 10
	history := [][]int{make([]int, hosts)}
	worst := 0.0
	for round := range rounds {
		seen := readyHosts(hosts)
		for i := range seen {
			seen[i].Zone, seen[i].Running = "zone-0", history[max(round-lag, 0)][i]
		}
		now := make([]int, hosts)
		for c := range callers {
			id := order(seen, host.Query{Caller: fmt.Sprint(c), Zone: "zone-0", Limit: 1})
			var i int
			_, _ = fmt.Sscanf(string(id), "entry-%d", &i)
			now[i]++
		}
		history = append(history, now)
		if round > lag {
			worst = max(worst, float64(slices.Max(now))*hosts/callers)
		}
	}
	return worst
}

func TestSelectHostsSpreadsCallersWithStaleCounts(t *testing.T) {
	cfg := &cicadapitch.Configuration{}
	weighted := func(m []cicadapitch.Member, q host.Query) cicadapitch.HostID {
		return host.SelectHosts(m, cfg, q).Hosts[0].Host
	}
	leastFirst := func(m []cicadapitch.Member, q host.Query) cicadapitch.HostID {
		own := func(a cicadapitch.Member) uint64 { return xxh3.HashString(q.Caller + string(a.Host)) }
		return slices.MinFunc(m, func(a, b cicadapitch.Member) int {
			return cmp.Or(cmp.Compare(a.Running/8, b.Running/8), cmp.Compare(own(a), own(b)))
		}).Host
	}
	for _, lag := range []int{0, 1, 4} {
		ours, baseline := busiestShare(lag, weighted), busiestShare(lag, leastFirst)
		t.Logf("lag of %d rounds: busiest host %.2f times the mean, with least running first %.2f times", lag, ours, baseline)
		require.Less(t, ours, 2.0)
		require.Less(t, ours, baseline)
	}
}

func TestSelectHostsPrefersIdleHosts(t *testing.T) {
	members := readyHosts(30)
	for i := range members {
		members[i].Zone, members[i].Running = "zone-0", 100
	}
	members[4].Running = 0
	got := 0
	for c := range 3000 {
		l := host.SelectHosts(members, &cicadapitch.Configuration{}, host.Query{Caller: fmt.Sprint(c), Zone: "zone-0"})
		if l.Hosts[0].Host == members[4].Host {
			got++
		}
	}
	require.Greater(t, got, 3000/30*3/2)
	require.Less(t, got, 3000/30*5/2)
}
