package claim

import "cicadapitch.example/cicadapitch"

// view is what the queries read. It never changes.
type view struct {
	self    cicadapitch.Member
	owned   map[cicadapitch.ShardID]holding
	winners map[cicadapitch.ShardID]cicadapitch.Member
	adverts map[cicadapitch.ShardID]advert
	storeUp bool
}

// holding is an owned shard and the instant after which it no longer holds.
type holding struct {
	fencing cicadapitch.FencingNumber
	until   cicadapitch.Instant
}

func (s *State) view(t Tick) *view {
	return s.refresh(&view{self: t.Self, winners: s.placing.winners, adverts: s.advertised})
}

// refresh returns v with what is owned now.
func (s *State) refresh(v *view) *view {
	next := *v
	next.storeUp = s.StoreUp()
	next.owned = make(map[cicadapitch.ShardID]holding, len(s.owned))
	for shard, o := range s.owned {
		next.owned[shard] = holding{fencing: o.fencing, until: s.until(o)}
	}
	return &next
}
