package batch_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
)

// TestJobLeavesItsZoneOnlyForAMuchShorterWait covers a burst of callers in one
// zone: its shard has a queue while the others are idle.
func TestJobLeavesItsZoneOnlyForAMuchShorterWait(t *testing.T) {
	shards := []batch.Shard{{Service: "s", Zone: "a"}, {Service: "s", Zone: "b"}, {Service: "s", Zone: "c"}}
	const light, heavy = 1_000, 2_000_000
	for _, c := range []struct {
		waits map[cicadapitch.ZoneID]cicadapitch.Millis
		moves cicadapitch.Bytes
		want  cicadapitch.ZoneID
	}{
		{nil, light, "b"},
		{map[cicadapitch.ZoneID]cicadapitch.Millis{"b": 20}, light, "b"},
		{map[cicadapitch.ZoneID]cicadapitch.Millis{"b": 150, "a": 40}, light, "c"},
		{map[cicadapitch.ZoneID]cicadapitch.Millis{"b": 150, "a": 40}, heavy, "b"},
		{map[cicadapitch.ZoneID]cicadapitch.Millis{"b": 900, "a": 40}, heavy, "c"},
	} {
		got := batch.ChooseShard(shards, "b", c.moves, func(s batch.Shard) cicadapitch.Millis { return c.waits[s.Zone] })
		require.Equal(t, c.want, got.Zone, "%+v", c)
	}
	whole := []batch.Shard{{Service: "s"}}
	require.Equal(t, whole[0], batch.ChooseShard(whole, "b", heavy, func(batch.Shard) cicadapitch.Millis { return 0 }))
}

// TestServiceStaysDividedWhileAZoneIsOutOfService takes one zone of a divided
// service out of service and puts it back. The other shards stay.
func TestServiceStaysDividedWhileAZoneIsOutOfService(t *testing.T) {
	state := fleet.NewState()
	for i := range 12 {
		state.SetEndpoint(start, catalog.Endpoint{
			ID: cicadapitch.EndpointID(fmt.Sprint(i)), Service: "s", Zone: cicadapitch.ZoneID(fmt.Sprintf("z%d", i%3)),
		})
	}
	shards := func() []batch.Shard { return batch.ShardsOf("s", state.View()) }
	all := []batch.Shard{{Service: "s", Zone: "z0"}, {Service: "s", Zone: "z1"}, {Service: "s", Zone: "z2"}}
	require.ElementsMatch(t, all, shards())
	state.SetEvacuated("z1", true)
	require.ElementsMatch(t, []batch.Shard{all[0], all[2]}, shards())
	state.SetEvacuated("z1", false)
	require.ElementsMatch(t, all, shards())
	state.RemoveEndpoint("0")
	require.Equal(t, []batch.Shard{{Service: "s"}}, shards(), "eleven endpoints are too few to divide the service")
	require.Equal(t, []batch.Shard{{Service: "unknown"}}, batch.ShardsOf("unknown", state.View()))
}
