package claim

import (
	"context"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// executor runs the commands that call the store.
type executor struct {
	store            cicadapitch.Store
	clock            cicadapitch.Clock
	leaseCallTimeout cicadapitch.Millis
}

// storedShard is the content of the keys of a shard. A revision of 0 means no key.
type storedShard struct {
	shard           cicadapitch.ShardID
	claim           Record
	claimRevision   cicadapitch.StoreRevision
	claimLease      cicadapitch.LeaseID
	fencingRecord   Record
	fencingRevision cicadapitch.StoreRevision
}

// listAllThreshold is the number of shards from which one list of all keys replaces
// one list per shard.
const listAllThreshold = 16

// acquire claims the shards in one commit. If the commit fails with a Conflict, it
// claims them one by one. After another error it reads each shard back, unless the store
// is unavailable.
func (x executor) acquire(ctx context.Context, c AcquireShards) []AcquireResult {
	results, claimable := x.readShards(ctx, c)
	for _, o := range c.Reacquire {
		previous := Record{Host: c.Host, Incarnation: c.Incarnation, Fencing: o.Fencing}
		claimable = append(claimable, storedShard{shard: o.Shard, fencingRecord: previous, fencingRevision: o.FencingRevision})
	}
	if len(claimable) == 0 {
		return results
	}
	acquired, err := x.commit(ctx, c, claimable)
	if err == nil {
		return append(results, acquired...)
	}
	for _, s := range claimable {
		if cicadapitch.KindOf(err) == cicadapitch.Unavailable {
			results = append(results, AcquireResult{Shard: s.shard, Err: err})
			continue
		}
		results = append(results, x.acquireOne(ctx, c, s.shard, err))
	}
	return results
}

// readShards reads the keys of c.Shards. It returns results for the shards that
// could not be read or for which existingResult has one, and the content of the
// others.
func (x executor) readShards(ctx context.Context, c AcquireShards) (results []AcquireResult, claimable []storedShard) {
	read := x.readShard
	if len(c.Shards) >= listAllThreshold {
		read = x.newListReader()
	}
	for _, shard := range c.Shards {
		s, err := read(ctx, shard)
		if err != nil {
			results = append(results, AcquireResult{Shard: shard, Err: err})
			continue
		}
		if r, done := existingResult(c, s); done {
			results = append(results, r)
			continue
		}
		claimable = append(claimable, s)
	}
	return results, claimable
}

// acquireOne reads a shard back after a commit failed with cause. It claims the
// shard if no other host has and cause is a conflict. After any other error the
// commit may still take effect.
func (x executor) acquireOne(ctx context.Context, c AcquireShards, shard cicadapitch.ShardID, cause error) AcquireResult {
	s, err := x.readShard(ctx, shard)
	if err != nil {
		return AcquireResult{Shard: shard, Err: err}
	}
	if r, done := existingResult(c, s); done {
		return r
	}
	if cicadapitch.KindOf(cause) != cicadapitch.Conflict {
		return AcquireResult{Shard: shard, Err: cause}
	}
	acquired, err := x.commit(ctx, c, []storedShard{s})
	if err != nil {
		return AcquireResult{Shard: shard, Err: err}
	}
	return acquired[0]
}

// existingResult returns the result for a shard that is already claimed. It returns
// false if the shard is free or claimed by the same process under another lease.
func existingResult(c AcquireShards, s storedShard) (AcquireResult, bool) {
	if s.claimRevision == 0 {
		return AcquireResult{}, false
	}
	if !s.claim.ownedBy(c) {
		return AcquireResult{Shard: s.shard}, true
	}
	if s.claimLease != c.Lease {
		return AcquireResult{}, false
	}
	return AcquireResult{
		Shard:           s.shard,
		Acquired:        true,
		Fencing:         s.claim.Fencing,
		Revision:        s.claimRevision,
		FencingRevision: s.fencingRevision,
	}, true
}

// nextRecord returns the record with which c claims the shard. The fencing number
// increases unless the same process was the last to claim the shard.
func (s storedShard) nextRecord(c AcquireShards) Record {
	r := Record{Host: c.Host, Incarnation: c.Incarnation, Fencing: s.fencingRecord.Fencing}
	if s.fencingRevision == 0 || !s.fencingRecord.ownedBy(c) {
		r.Fencing++
	}
	return r
}

// commit claims the shards in one commit under c.Lease. It fails with a Conflict if
// a key is no longer as read.
func (x executor) commit(ctx context.Context, c AcquireShards, claimable []storedShard) ([]AcquireResult, error) {
	var conditions []cicadapitch.Condition
	var puts []cicadapitch.Write
	for _, s := range claimable {
		r := s.nextRecord(c)
		b, err := EncodeRecord(r)
		if err != nil {
			return nil, err
		}
		conditions = append(conditions,
			cicadapitch.Condition{Key: claimKey(s.shard), Revision: s.claimRevision},
			cicadapitch.Condition{Key: fencingKey(s.shard), Revision: s.fencingRevision})
		puts = append(puts, cicadapitch.Write{Key: claimKey(s.shard), Value: b, Lease: c.Lease})
		if r != s.fencingRecord {
			puts = append(puts, cicadapitch.Write{Key: fencingKey(s.shard), Value: b})
		}
	}
	revision, err := x.store.Commit(ctx, conditions, puts)
	if err != nil {
		return nil, err
	}
	return lo.Map(claimable, func(s storedShard, _ int) AcquireResult { return s.acquiredResult(c, revision) }), nil
}

// acquiredResult returns the result of a successful commit of nextRecord, which got
// revision r.
func (s storedShard) acquiredResult(c AcquireShards, r cicadapitch.StoreRevision) AcquireResult {
	next := s.nextRecord(c)
	fencingRevision := s.fencingRevision
	if next != s.fencingRecord {
		fencingRevision = r
	}
	return AcquireResult{Shard: s.shard, Acquired: true, Fencing: next.Fencing, Revision: r, FencingRevision: fencingRevision}
}

// readShard lists the keys of one shard.
func (x executor) readShard(ctx context.Context, shard cicadapitch.ShardID) (storedShard, error) {
	pairs, _, err := x.store.List(ctx, shardPrefix(shard))
	if err != nil {
		return storedShard{}, err
	}
	return decodeShard(pairs, shard)
}

// newListReader returns a replacement for readShard that lists the keys of all shards
// at its first call and answers later calls from that list.
func (x executor) newListReader() func(context.Context, cicadapitch.ShardID) (storedShard, error) {
	var byKey map[string]cicadapitch.KeyValue
	var failure error
	return func(ctx context.Context, shard cicadapitch.ShardID) (storedShard, error) {
		if byKey == nil && failure == nil {
			var pairs []cicadapitch.KeyValue
			pairs, _, failure = x.store.List(ctx, shardsPrefix)
			byKey = lo.KeyBy(pairs, func(p cicadapitch.KeyValue) string { return p.Key })
		}
		if failure != nil {
			return storedShard{}, failure
		}
		return decodeShard([]cicadapitch.KeyValue{byKey[claimKey(shard)], byKey[fencingKey(shard)]}, shard)
	}
}

// decodeShard decodes the keys of a shard from pairs. Zero pairs are skipped.
func decodeShard(pairs []cicadapitch.KeyValue, shard cicadapitch.ShardID) (storedShard, error) {
	s := storedShard{shard: shard}
	for _, p := range pairs {
		if p.Key == "" {
			continue
		}
		r, err := DecodeRecord(p.Value)
		if err != nil {
			return s, err
		}
		switch p.Key {
		case claimKey(shard):
			s.claim, s.claimRevision, s.claimLease = r, p.Revision, p.Lease
		case fencingKey(shard):
			s.fencingRecord, s.fencingRevision = r, p.Revision
		}
	}
	return s, nil
}

// release deletes the claims one by one and returns the first error other than a
// Conflict, without deleting the rest. A Conflict means that the claim has changed since
// this process wrote it.
func (x executor) release(ctx context.Context, c ReleaseShards) error {
	for _, claim := range c.Shards {
		condition := []cicadapitch.Condition{{Key: claimKey(claim.Shard), Revision: claim.Revision}}
		_, err := x.store.Commit(ctx, condition, []cicadapitch.Write{{Key: claimKey(claim.Shard), Delete: true}})
		if err != nil && cicadapitch.KindOf(err) != cicadapitch.Conflict {
			return err
		}
	}
	return nil
}

// grant requests a lease, for at most leaseCallTimeout.
func (x executor) grant(ctx context.Context, c GrantLease) LeaseResponse {
	ctx, cancel := context.WithTimeout(ctx, x.leaseCallTimeout.Duration())
	defer cancel()
	resp := LeaseResponse{Sent: x.clock.Now(), TTL: c.TTL}
	resp.Lease, resp.Err = x.store.Grant(ctx, c.TTL)
	resp.Now = x.clock.Now()
	return resp
}

// renew extends a lease, for at most leaseCallTimeout.
func (x executor) renew(ctx context.Context, c RenewLease) LeaseResponse {
	ctx, cancel := context.WithTimeout(ctx, x.leaseCallTimeout.Duration())
	defer cancel()
	resp := LeaseResponse{Sent: x.clock.Now(), Lease: c.Lease}
	resp.TTL, resp.Err = x.store.Renew(ctx, c.Lease)
	resp.Now = x.clock.Now()
	return resp
}
