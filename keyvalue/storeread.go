package keyvalue

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/keyvalue/etcd"
)

// Get implements cicadapitch.Store.
func (s *Store) Get(ctx context.Context, key string) (cicadapitch.Pair, error) {
	a, err := exchange[etcd.RangeResponse](ctx, s, reads, etcd.PathRange, etcd.RangeRequest{Key: []byte(key)})
	if err != nil {
		return cicadapitch.Pair{}, err
	}
	if len(a.KVs) == 0 {
		return cicadapitch.Pair{}, cicadapitch.NewError(cicadapitch.NotFound, "no key "+key, "write it first")
	}
	return pair(a.KVs[0]), nil
}

// List implements cicadapitch.Store.
func (s *Store) List(ctx context.Context, prefix string) ([]cicadapitch.Pair, cicadapitch.StoreRevision, error) {
	q := etcd.RangeRequest{Key: []byte(prefix), RangeEnd: etcd.PrefixEnd(prefix)}
	a, err := exchange[etcd.RangeResponse](ctx, s, reads, etcd.PathRange, q)
	if err != nil {
		return nil, 0, err
	}
	list := make([]cicadapitch.Pair, len(a.KVs))
	for i, kv := range a.KVs {
		list[i] = pair(kv)
	}
	return list, cicadapitch.StoreRevision(a.Header.Revision), nil
}

func pair(kv etcd.KeyValue) cicadapitch.Pair {
	return cicadapitch.Pair{
		Key:      string(kv.Key),
		Value:    kv.Value,
		Revision: cicadapitch.StoreRevision(kv.ModRevision),
		Lease:    cicadapitch.LeaseID(kv.Lease),
	}
}
