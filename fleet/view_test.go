package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

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
