package fleet_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
)

// deploymentModel is what a State should hold.
type deploymentModel struct {
	endpoints map[cicadapitch.EndpointID]fleet.Endpoint
	evacuated map[cicadapitch.ZoneID]bool
	hosts     map[string]fleet.Host
}

// content is what a view shows of a deployment.
type content struct {
	endpoints map[catalog.ServiceID][]fleet.Endpoint
	counts    map[catalog.ServiceID]map[cicadapitch.ZoneID]int
	versions  map[catalog.ServiceID][]cicadapitch.SoftwareVersion
	hosts     []fleet.Host
}

var services = []catalog.ServiceID{"a", "b", "c"}

// expected returns what a view of the deployment has to show.
func (m *deploymentModel) expected() content {
	c := content{map[catalog.ServiceID][]fleet.Endpoint{}, map[catalog.ServiceID]map[cicadapitch.ZoneID]int{}, map[catalog.ServiceID][]cicadapitch.SoftwareVersion{}, nil}
	for i := range 6 {
		e, ok := m.endpoints[cicadapitch.EndpointID(fmt.Sprint("e", i))]
		if !ok {
			continue
		}
		if c.counts[e.Service] == nil {
			c.counts[e.Service] = map[cicadapitch.ZoneID]int{}
		}
		c.counts[e.Service][e.Zone]++
		if !slices.Contains(c.versions[e.Service], e.Version) {
			c.versions[e.Service] = append(c.versions[e.Service], e.Version)
		}
		if !e.Leaving && !m.evacuated[e.Zone] {
			c.endpoints[e.Service] = append(c.endpoints[e.Service], e)
		}
	}
	for i := range 4 {
		if h, ok := m.hosts[fmt.Sprint("hosts/", i)]; ok {
			c.hosts = append(c.hosts, h)
		}
	}
	return c
}

// shown returns a copy of what a view shows.
func shown(v *fleet.View) content {
	c := content{map[catalog.ServiceID][]fleet.Endpoint{}, map[catalog.ServiceID]map[cicadapitch.ZoneID]int{}, map[catalog.ServiceID][]cicadapitch.SoftwareVersion{}, slices.Clone(v.Hosts)}
	for _, s := range services {
		if list := v.Endpoints(s); len(list) > 0 {
			c.endpoints[s] = slices.Clone(list)
		}
		if counts := v.EndpointCounts(s); len(counts) > 0 {
			c.counts[s] = counts
		}
		if versions := v.Versions[s]; len(versions) > 0 {
			c.versions[s] = slices.Clone(versions)
		}
	}
	return c
}

// TestViewsShowEachChangeAndStayAsTheyAre guards against views that share with others what has changed.
func TestViewsShowEachChangeAndStayAsTheyAre(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := fleet.NewState()
		m := &deploymentModel{map[cicadapitch.EndpointID]fleet.Endpoint{}, map[cicadapitch.ZoneID]bool{}, map[string]fleet.Host{}}
		var views []*fleet.View
		var contents []content
		for now := range rapid.IntRange(1, 40).Draw(rt, "changes") {
			id := cicadapitch.EndpointID(fmt.Sprint("e", rapid.IntRange(0, 5).Draw(rt, "endpoint")))
			zone := cicadapitch.ZoneID(fmt.Sprint("z", rapid.IntRange(0, 2).Draw(rt, "zone")))
			key := rapid.IntRange(0, 3).Draw(rt, "host")
			switch rapid.IntRange(0, 5).Draw(rt, "change") {
			case 0, 1:
				e := catalog.Endpoint{
					ID: id, Service: rapid.SampledFrom(services).Draw(rt, "service"), Zone: zone, Leaving: rapid.Bool().Draw(rt, "leaving"),
					Version: cicadapitch.SoftwareVersion(rapid.SampledFrom([]string{"v1", "v2"}).Draw(rt, "version")),
				}
				s.SetEndpoint(cicadapitch.Instant(now), e)
				m.endpoints[id] = fleet.Endpoint{Endpoint: e, WarmAt: cicadapitch.Instant(now)}
			case 2:
				s.RemoveEndpoint(id)
				delete(m.endpoints, id)
			case 3:
				out := rapid.Bool().Draw(rt, "out")
				s.SetEvacuated(zone, out)
				m.evacuated[zone] = out
			case 4:
				h := fleet.Host{Incarnation: fmt.Sprint(key), Peers: fmt.Sprint(key), Revision: cicadapitch.StoreRevision(now)}
				s.SetHost(fmt.Sprint("hosts/", key), h)
				m.hosts[fmt.Sprint("hosts/", key)] = h
			case 5:
				s.RemoveHost(fmt.Sprint("hosts/", key))
				delete(m.hosts, fmt.Sprint("hosts/", key))
			}
			v := s.View()
			got, expected := shown(v), m.expected()
			for service, versions := range got.versions {
				require.ElementsMatch(rt, expected.versions[service], versions)
			}
			require.Equal(rt, len(expected.versions), len(got.versions))
			require.Equal(rt, expected.endpoints, got.endpoints)
			require.Equal(rt, expected.counts, got.counts)
			require.ElementsMatch(rt, expected.hosts, got.hosts)
			for i := range 6 {
				id := cicadapitch.EndpointID(fmt.Sprint("e", i))
				e, known := m.endpoints[id]
				require.Equal(rt, known && !e.Leaving && !m.evacuated[e.Zone], v.Contains(id))
				require.Equal(rt, known && e.Leaving, s.Leaving(id))
			}
			views, contents = append(views, v), append(contents, got)
			for i := range views {
				require.Equal(rt, contents[i], shown(views[i]), "view %d has changed", i)
			}
		}
	})
}
