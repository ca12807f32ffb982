package claim

import "cicadapitch.example/cicadapitch"

// view is what the queries read. It never changes.
type view struct {
	self           cicadapitch.Member
	owned          map[cicadapitch.ShardID]heldShard
	preferred      map[cicadapitch.ShardID]cicadapitch.Member
	advertisements map[cicadapitch.ShardID]advertisement
	storeUp        bool
}

// holding is an owned shard and the instant after which it no longer holds.
type heldShard struct {
	fencing    cicadapitch.FencingNumber
	validUntil cicadapitch.Instant
}

func (s *State) view(t Tick) *view {
	return s.refresh(&view{self: t.Self, preferred: s.assignment.preferred, advertisements: s.advertised})
}

// refresh returns v with what is owned now.
func (s *State) refresh(v *view) *view {
	next := *v
	next.storeUp = s.StoreUp()
	next.owned = make(map[cicadapitch.ShardID]heldShard, len(s.owned))
	for shard, o := range s.owned {
		next.owned[shard] = heldShard{fencing: o.fencing, validUntil: s.validUntil(o)}
	}
	return &next
}
