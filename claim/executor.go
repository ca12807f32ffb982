package claim

import (
	"context"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// executor carries out the commands that call the store.
type executor struct {
	store            cicadapitch.Store
	clock            cicadapitch.Clock
	leaseCallTimeout cicadapitch.Millis
}

// found is what the store holds for a shard.
type storedShard struct {
	shard           cicadapitch.ShardID
	claim           Record
	claimRevision   cicadapitch.StoreRevision
	claimLease      cicadapitch.LeaseID
	fencingRecord   Record
	fencingRevision cicadapitch.StoreRevision
}

// listAll is from how many shards on one read of all claims is made in place
// of one for each shard.
const listAllThreshold = 16

// claim claims shards in one write, and one by one where that fails.
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

// look reads what the store has of the shards. It returns the results of those
// that are settled and what was found of the others.
func (x executor) readShards(ctx context.Context, c AcquireShards) (results []AcquireResult, claimable []storedShard) {
	read := x.readShard
	if len(c.Shards) >= listAllThreshold {
		read = x.readFromList()
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

// claimOne reads a shard back after a write failed or its answer was lost, and
// claims it where it is still free and the write is known to have failed.
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

// settled returns the result where the store already has a claim, unless it is
// this process's own under an earlier lease.
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

// next returns the record of this process's claim. The number stays where no
// other process has claimed the shard since.
func (s storedShard) nextRecord(c AcquireShards) Record {
	r := Record{Host: c.Host, Incarnation: c.Incarnation, Fencing: s.fencingRecord.Fencing}
	if s.fencingRevision == 0 || !s.fencingRecord.ownedBy(c) {
		r.Fencing++
	}
	return r
}

func (x executor) commit(ctx context.Context, c AcquireShards, claimable []storedShard) ([]AcquireResult, error) {
	var conditions []cicadapitch.Compare
	var puts []cicadapitch.Put
	for _, s := range claimable {
		r := s.nextRecord(c)
		b, err := EncodeRecord(r)
		if err != nil {
			return nil, err
		}
		conditions = append(conditions,
			cicadapitch.Compare{Key: claimKey(s.shard), Revision: s.claimRevision},
			cicadapitch.Compare{Key: fencingKey(s.shard), Revision: s.fencingRevision})
		puts = append(puts, cicadapitch.Put{Key: claimKey(s.shard), Value: b, Lease: c.Lease})
		if r != s.fencingRecord {
			puts = append(puts, cicadapitch.Put{Key: fencingKey(s.shard), Value: b})
		}
	}
	revision, err := x.store.Commit(ctx, conditions, puts)
	if err != nil {
		return nil, err
	}
	return lo.Map(claimable, func(s storedShard, _ int) AcquireResult { return s.result(c, revision) }), nil
}

// won returns the result of a write of revision r.
func (s storedShard) result(c AcquireShards, r cicadapitch.StoreRevision) AcquireResult {
	next := s.nextRecord(c)
	fencingRevision := s.fencingRevision
	if next != s.fencingRecord {
		fencingRevision = r
	}
	return AcquireResult{Shard: s.shard, Acquired: true, Fencing: next.Fencing, Revision: r, FencingRevision: fencingRevision}
}

func (x executor) readShard(ctx context.Context, shard cicadapitch.ShardID) (storedShard, error) {
	pairs, _, err := x.store.List(ctx, shardPrefix(shard))
	if err != nil {
		return storedShard{}, err
	}
	return decodeShard(pairs, shard)
}

// findAmongAll returns a find that makes one read for all shards.
func (x executor) readFromList() func(context.Context, cicadapitch.ShardID) (storedShard, error) {
	var byKey map[string]cicadapitch.Pair
	var failure error
	return func(ctx context.Context, shard cicadapitch.ShardID) (storedShard, error) {
		if byKey == nil && failure == nil {
			var pairs []cicadapitch.Pair
			pairs, _, failure = x.store.List(ctx, shardsPrefix)
			byKey = lo.KeyBy(pairs, func(p cicadapitch.Pair) string { return p.Key })
		}
		if failure != nil {
			return storedShard{}, failure
		}
		return decodeShard([]cicadapitch.Pair{byKey[claimKey(shard)], byKey[fencingKey(shard)]}, shard)
	}
}

func decodeShard(pairs []cicadapitch.Pair, shard cicadapitch.ShardID) (storedShard, error) {
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

// release deletes claims that still are as this process wrote them.
func (x executor) release(ctx context.Context, c ReleaseShards) error {
	for _, claim := range c.Shards {
		condition := []cicadapitch.Compare{{Key: claimKey(claim.Shard), Revision: claim.Revision}}
		_, err := x.store.Commit(ctx, condition, []cicadapitch.Put{{Key: claimKey(claim.Shard), Delete: true}})
		if err != nil && cicadapitch.KindOf(err) != cicadapitch.Conflict {
			return err
		}
	}
	return nil
}

func (x executor) grant(ctx context.Context, c GrantLease) LeaseResponse {
	ctx, cancel := context.WithTimeout(ctx, x.leaseCallTimeout.Duration())
	defer cancel()
	resp := LeaseResponse{Sent: x.clock.Now(), TTL: c.TTL}
	resp.Lease, resp.Err = x.store.Grant(ctx, c.TTL)
	resp.Now = x.clock.Now()
	return resp
}

func (x executor) renew(ctx context.Context, c RenewLease) LeaseResponse {
	ctx, cancel := context.WithTimeout(ctx, x.leaseCallTimeout.Duration())
	defer cancel()
	resp := LeaseResponse{Sent: x.clock.Now(), Lease: c.Lease}
	resp.TTL, resp.Err = x.store.Renew(ctx, c.Lease)
	resp.Now = x.clock.Now()
	return resp
}
