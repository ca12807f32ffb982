package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
)

func TestStateKeepsTheLatestConfiguration(t *testing.T) {
	s := fleet.NewState()
	require.True(t, s.SetCatalog(catalog.NewBuilder(7, catalog.Limits{}).Catalog()))
	require.False(t, s.SetCatalog(catalog.NewBuilder(6, catalog.Limits{}).Catalog()))
	require.Equal(t, int64(7), s.View().Catalog.Version)
}

func TestViewExcludesLeavingEndpointsAndZonesOutOfService(t *testing.T) {
	s := fleet.NewState()
	for _, e := range []catalog.Endpoint{
		{ID: "a", Service: "s", Zone: "z1"},
		{ID: "b", Service: "s", Zone: "z2"},
		{ID: "c", Service: "s", Zone: "z1", Leaving: true},
	} {
		s.SetEndpoint(start, e)
	}
	s.SetEvacuated("z2", true)
	require.Len(t, s.View().Endpoints("s"), 1)
	s.SetEvacuated("z2", false)
	require.Len(t, s.View().Endpoints("s"), 2)
}

// TestRestartedHostReplacesItsEarlierProcess guards against a host that counts as two until the
// lease of its earlier process ends, so that hosts disagree on owners.
func TestRestartedHostReplacesItsEarlierProcess(t *testing.T) {
	s := fleet.NewState()
	s.SetHost("hosts/c", fleet.Host{ID: "host-1", Incarnation: "c", Peers: "10.0.0.1:7740", Revision: 5})
	s.SetHost("hosts/a", fleet.Host{ID: "host-1", Incarnation: "a", Peers: "10.0.0.1:7740", Revision: 9})
	s.SetHost("hosts/b", fleet.Host{ID: "host-2", Incarnation: "b", Peers: "10.0.0.2:7740", Revision: 4})
	incarnations := func() (out []string) {
		for _, h := range s.View().Hosts {
			out = append(out, h.Incarnation)
		}
		return out
	}
	require.Equal(t, []string{"a", "b"}, incarnations())
	s.RemoveHost("hosts/a")
	require.Equal(t, []string{"b", "c"}, incarnations())
}

// TestViewsDoNotShareWhatAnAppendWrites guards against a reader of one view that changes another.
func TestViewsDoNotShareWhatAnAppendWrites(t *testing.T) {
	s := fleet.NewState()
	for i := range 5 {
		id := string(rune('a' + i))
		s.SetEndpoint(start, catalog.Endpoint{ID: cicadapitch.EndpointID(id), Service: "s", Leaving: i > 2})
		s.SetHost("hosts/"+id, fleet.Host{Incarnation: id, Peers: id})
	}
	v := s.View()
	require.Equal(t, len(v.Endpoints("s")), cap(v.Endpoints("s")))
	require.Equal(t, len(v.Versions["s"]), cap(v.Versions["s"]))
	require.Equal(t, len(v.Hosts), cap(v.Hosts))
}
