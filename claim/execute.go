package claim

import (
	"context"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// executor carries out the commands that call the store.
type executor struct {
	store        cicadapitch.Store
	clock        cicadapitch.Clock
	leaseTimeout cicadapitch.Millis
}

// found is what the store holds for a shard.
type found struct {
	shard          cicadapitch.ShardID
	claim          Record
	claimRevision  cicadapitch.StoreRevision
	claimLease     cicadapitch.LeaseID
	number         Record
	numberRevision cicadapitch.StoreRevision
}

// listAll is from how many shards on one read of all claims is made in place
// of one for each shard.
const listAll = 16

// claim claims shards in one write, and one by one where that fails.
func (x executor) claim(ctx context.Context, c AcquireShards) []AcquireResult {
	results, open := x.look(ctx, c)
	for _, o := range c.Reacquire {
		number := Record{Host: c.Host, Incarnation: c.Incarnation, Fencing: o.Fencing}
		open = append(open, found{shard: o.Shard, number: number, numberRevision: o.FencingRevision})
	}
	if len(open) == 0 {
		return results
	}
	won, err := x.write(ctx, c, open)
	if err == nil {
		return append(results, won...)
	}
	for _, f := range open {
		if cicadapitch.KindOf(err) == cicadapitch.Unavailable {
			results = append(results, AcquireResult{Shard: f.shard, Err: err})
			continue
		}
		results = append(results, x.claimOne(ctx, c, f.shard, err))
	}
	return results
}

// look reads what the store has of the shards. It returns the results of those
// that are settled and what was found of the others.
func (x executor) look(ctx context.Context, c AcquireShards) (results []AcquireResult, open []found) {
	find := x.find
	if len(c.Shards) >= listAll {
		find = x.findAmongAll()
	}
	for _, shard := range c.Shards {
		f, err := find(ctx, shard)
		if err != nil {
			results = append(results, AcquireResult{Shard: shard, Err: err})
			continue
		}
		if r, done := settled(c, f); done {
			results = append(results, r)
			continue
		}
		open = append(open, f)
	}
	return results, open
}

// claimOne reads a shard back after a write failed or its answer was lost, and
// claims it where it is still free and the write is known to have failed.
func (x executor) claimOne(ctx context.Context, c AcquireShards, shard cicadapitch.ShardID, cause error) AcquireResult {
	f, err := x.find(ctx, shard)
	if err != nil {
		return AcquireResult{Shard: shard, Err: err}
	}
	if r, done := settled(c, f); done {
		return r
	}
	if cicadapitch.KindOf(cause) != cicadapitch.Conflict {
		return AcquireResult{Shard: shard, Err: cause}
	}
	won, err := x.write(ctx, c, []found{f})
	if err != nil {
		return AcquireResult{Shard: shard, Err: err}
	}
	return won[0]
}

// settled returns the result where the store already has a claim, unless it is
// this process's own under an earlier lease.
func settled(c AcquireShards, f found) (AcquireResult, bool) {
	if f.claimRevision == 0 {
		return AcquireResult{}, false
	}
	if !f.claim.by(c) {
		return AcquireResult{Shard: f.shard}, true
	}
	if f.claimLease != c.Lease {
		return AcquireResult{}, false
	}
	return AcquireResult{
		Shard:           f.shard,
		Acquired:        true,
		Fencing:         f.claim.Fencing,
		Revision:        f.claimRevision,
		FencingRevision: f.numberRevision,
	}, true
}

// next returns the record of this process's claim. The number stays where no
// other process has claimed the shard since.
func (f found) next(c AcquireShards) Record {
	r := Record{Host: c.Host, Incarnation: c.Incarnation, Fencing: f.number.Fencing}
	if f.numberRevision == 0 || !f.number.by(c) {
		r.Fencing++
	}
	return r
}

func (x executor) write(ctx context.Context, c AcquireShards, open []found) ([]AcquireResult, error) {
	var conditions []cicadapitch.Compare
	var puts []cicadapitch.Put
	for _, f := range open {
		r := f.next(c)
		b, err := EncodeRecord(r)
		if err != nil {
			return nil, err
		}
		conditions = append(conditions,
			cicadapitch.Compare{Key: claimKey(f.shard), Revision: f.claimRevision},
			cicadapitch.Compare{Key: numberKey(f.shard), Revision: f.numberRevision})
		puts = append(puts, cicadapitch.Put{Key: claimKey(f.shard), Value: b, Lease: c.Lease})
		if r != f.number {
			puts = append(puts, cicadapitch.Put{Key: numberKey(f.shard), Value: b})
		}
	}
	revision, err := x.store.Commit(ctx, conditions, puts)
	if err != nil {
		return nil, err
	}
	return lo.Map(open, func(f found, _ int) AcquireResult { return f.won(c, revision) }), nil
}

// won returns the result of a write of revision r.
func (f found) won(c AcquireShards, r cicadapitch.StoreRevision) AcquireResult {
	next := f.next(c)
	number := f.numberRevision
	if next != f.number {
		number = r
	}
	return AcquireResult{Shard: f.shard, Acquired: true, Fencing: next.Fencing, Revision: r, FencingRevision: number}
}

func (x executor) find(ctx context.Context, shard cicadapitch.ShardID) (found, error) {
	pairs, _, err := x.store.List(ctx, keyPrefix(shard))
	if err != nil {
		return found{}, err
	}
	return pick(pairs, shard)
}

// findAmongAll returns a find that makes one read for all shards.
func (x executor) findAmongAll() func(context.Context, cicadapitch.ShardID) (found, error) {
	var byKey map[string]cicadapitch.Pair
	var failure error
	return func(ctx context.Context, shard cicadapitch.ShardID) (found, error) {
		if byKey == nil && failure == nil {
			var pairs []cicadapitch.Pair
			pairs, _, failure = x.store.List(ctx, allShards)
			byKey = lo.KeyBy(pairs, func(p cicadapitch.Pair) string { return p.Key })
		}
		if failure != nil {
			return found{}, failure
		}
		return pick([]cicadapitch.Pair{byKey[claimKey(shard)], byKey[numberKey(shard)]}, shard)
	}
}

func pick(pairs []cicadapitch.Pair, shard cicadapitch.ShardID) (found, error) {
	f := found{shard: shard}
	for _, p := range pairs {
		if p.Key == "" {
			continue
		}
		r, err := DecodeRecord(p.Value)
		if err != nil {
			return f, err
		}
		switch p.Key {
		case claimKey(shard):
			f.claim, f.claimRevision, f.claimLease = r, p.Revision, p.Lease
		case numberKey(shard):
			f.number, f.numberRevision = r, p.Revision
		}
	}
	return f, nil
}

// release deletes claims that still are as this process wrote them.
func (x executor) release(ctx context.Context, c ReleaseShards) error {
	for _, h := range c.Shards {
		condition := []cicadapitch.Compare{{Key: claimKey(h.Shard), Revision: h.Revision}}
		_, err := x.store.Commit(ctx, condition, []cicadapitch.Put{{Key: claimKey(h.Shard), Delete: true}})
		if err != nil && cicadapitch.KindOf(err) != cicadapitch.Conflict {
			return err
		}
	}
	return nil
}

func (x executor) grant(ctx context.Context, c GrantLease) LeaseResponse {
	ctx, cancel := context.WithTimeout(ctx, x.leaseTimeout.Duration())
	defer cancel()
	a := LeaseResponse{Sent: x.clock.Now(), TTL: c.TTL}
	a.Lease, a.Err = x.store.Grant(ctx, c.TTL)
	a.Now = x.clock.Now()
	return a
}

func (x executor) renew(ctx context.Context, c RenewLease) LeaseResponse {
	ctx, cancel := context.WithTimeout(ctx, x.leaseTimeout.Duration())
	defer cancel()
	a := LeaseResponse{Sent: x.clock.Now(), Lease: c.Lease}
	a.TTL, a.Err = x.store.Renew(ctx, c.Lease)
	a.Now = x.clock.Now()
	return a
}
