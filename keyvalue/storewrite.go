package keyvalue

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/keyvalue/etcd"
)

// Commit implements cicadapitch.Store.
func (s *Store) Commit(ctx context.Context, conditions []cicadapitch.Compare, puts []cicadapitch.Put) (cicadapitch.StoreRevision, error) {
	for _, p := range puts {
		if cicadapitch.Bytes(len(p.Value)) > cicadapitch.MaxValueBytes {
			return 0, cicadapitch.NewError(cicadapitch.Invalid, "value of "+p.Key+" is too large", "write less than a megabyte")
		}
	}
	a, err := exchange[etcd.TxnResponse](ctx, s, writes, etcd.PathTxn, txn(conditions, puts))
	if err != nil {
		return 0, err
	}
	if !a.Succeeded {
		return 0, cicadapitch.NewError(cicadapitch.Conflict, "a key has changed in the store", "read it again and decide anew")
	}
	return cicadapitch.StoreRevision(a.Header.Revision), nil
}

func txn(conditions []cicadapitch.Compare, puts []cicadapitch.Put) etcd.TxnRequest {
	var q etcd.TxnRequest
	for _, c := range conditions {
		q.Compare = append(q.Compare, etcd.Compare{
			Key:         []byte(c.Key),
			Target:      etcd.TargetMod,
			Result:      etcd.ResultEqual,
			ModRevision: int64(c.Revision),
		})
	}
	for _, p := range puts {
		q.Success = append(q.Success, operation(p))
	}
	return q
}

func operation(p cicadapitch.Put) etcd.RequestOp {
	if p.Delete {
		return etcd.RequestOp{RequestDeleteRange: &etcd.DeleteRangeRequest{Key: []byte(p.Key)}}
	}
	return etcd.RequestOp{RequestPut: &etcd.PutRequest{Key: []byte(p.Key), Value: p.Value, Lease: int64(p.Lease)}}
}

// Grant implements cicadapitch.Store. The ttl is rounded up to whole seconds.
func (s *Store) Grant(ctx context.Context, ttl cicadapitch.Millis) (cicadapitch.LeaseID, error) {
	seconds := int64((ttl + cicadapitch.Second - 1) / cicadapitch.Second)
	a, err := exchange[etcd.LeaseGrantResponse](ctx, s, writes, etcd.PathGrant, etcd.LeaseGrantRequest{TTL: seconds})
	return cicadapitch.LeaseID(a.ID), err
}

// Renew implements cicadapitch.Store.
func (s *Store) Renew(ctx context.Context, id cicadapitch.LeaseID) (cicadapitch.Millis, error) {
	type answer = etcd.Streamed[etcd.LeaseKeepAliveResponse]
	a, err := exchange[answer](ctx, s, writes, etcd.PathKeepAlive, etcd.LeaseRequest{ID: int64(id)})
	if err != nil {
		return 0, err
	}
	if a.Result == nil {
		return 0, s.failed(writes.lost("the renewal has no result"))
	}
	if a.Result.TTL <= 0 {
		return 0, cicadapitch.NewError(cicadapitch.NotFound, "the lease has lapsed", "grant a new one")
	}
	return cicadapitch.Millis(a.Result.TTL) * cicadapitch.Second, nil
}

// Revoke implements cicadapitch.Store.
func (s *Store) Revoke(ctx context.Context, id cicadapitch.LeaseID) error {
	_, err := exchange[struct{}](ctx, s, writes, etcd.PathRevoke, etcd.LeaseRequest{ID: int64(id)})
	return err
}
