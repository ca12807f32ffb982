package rollout

import "cicadapitch.example/cicadapitch"

// views returns a view of each owned shard whose pool was ordered to serve
// something, without its load.
func views(
	cfg *cicadapitch.Configuration, owned map[cicadapitch.ShardID]cicadapitch.FencingNumber, now cicadapitch.Instant,
) []ShardView {
	out := make(map[cicadapitch.ZoneID]bool)
	for _, z := range cfg.Zones {
		out[z.ID] = z.Out
	}
	var list []ShardView
	count := make(map[cicadapitch.PoolID]int)
	for _, s := range cfg.Shards() {
		index := count[s.Pool]
		count[s.Pool]++
		pool, _ := cfg.Pool(s.Pool)
		fencing, mine := owned[s.ID]
		if _, ok := targetOf(pool); !ok || !mine {
			continue
		}
		v := ShardView{Now: now, Fencing: fencing, Pool: pool, Endpoints: s.Endpoints, Index: index}
		v.OutOfService = make(map[cicadapitch.EndpointID]bool)
		for _, e := range s.Endpoints {
			v.OutOfService[e.ID] = e.Out || out[e.Zone]
		}
		list = append(list, v)
	}
	for i := range list {
		list[i].Count = count[list[i].Pool.ID]
	}
	return list
}
