package claim

import "cicadapitch.example/cicadapitch"

// view is an immutable snapshot of the ownership, read by the queries of Manager.
type view struct {
	self           cicadapitch.Member
	owned          map[cicadapitch.ShardID]heldShard
	preferred      map[cicadapitch.ShardID]cicadapitch.Member
	advertisements map[cicadapitch.ShardID]advertisement
	storeUp        bool
}

// heldShard is an owned shard and the instant from which it may not be used.
type heldShard struct {
	fencing    cicadapitch.FencingNumber
	validUntil cicadapitch.Instant
}

// view returns the snapshot of the state as of t.
func (s *State) view(t Tick) *view {
	return s.refresh(&view{self: t.Self, preferred: s.assignment.preferred, advertisements: s.highestAdvertisements})
}

// refresh returns a copy of v with the current owned shards and store status.
func (s *State) refresh(v *view) *view {
	next := *v
	next.storeUp = s.StoreUp()
	next.owned = make(map[cicadapitch.ShardID]heldShard, len(s.owned))
	for shard, o := range s.owned {
		next.owned[shard] = heldShard{fencing: o.fencing, validUntil: s.validUntil(o)}
	}
	return &next
}
