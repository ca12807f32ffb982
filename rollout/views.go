package rollout

import "cicadapitch.example/cicadapitch"

// shardViews returns a view of each owned shard whose pool has a target. The
// views lack the load of the shard.
func shardViews(
	cfg *cicadapitch.Configuration, owned map[cicadapitch.ShardID]cicadapitch.FencingNumber, now cicadapitch.Instant,
) []ShardView {
	zoneOut := make(map[cicadapitch.ZoneID]bool)
	for _, z := range cfg.Zones {
		zoneOut[z.ID] = z.Out
	}
	var list []ShardView
	count := make(map[cicadapitch.PoolID]int)
	for _, s := range cfg.Shards() {
		index := count[s.Pool]
		count[s.Pool]++
		pool, _ := cfg.Pool(s.Pool)
		fencing, ownedHere := owned[s.ID]
		if _, ok := targetOf(pool); !ok || !ownedHere {
			continue
		}
		v := ShardView{Now: now, Fencing: fencing, Pool: pool, Endpoints: s.Endpoints, Index: index}
		v.OutOfService = make(map[cicadapitch.EndpointID]bool)
		for _, e := range s.Endpoints {
			v.OutOfService[e.ID] = e.Out || zoneOut[e.Zone]
		}
		list = append(list, v)
	}
	for i := range list {
		list[i].Count = count[list[i].Pool.ID]
	}
	return list
}
