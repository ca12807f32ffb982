package rollout

import (
	"context"
	"encoding/json"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// keyPrefix begins the keys of the progress records.
const keyPrefix = "rollout/"

// progress is how far the engines of one shard have come. The store keeps it,
// so that the next owner of the shard goes on from there.
type progress struct {
	Target Target
	// Done are the engines that accepted the target.
	Done []cicadapitch.EndpointID

	revision cicadapitch.StoreRevision
	// unsaved is true while the store does not hold the latest progress.
	unsaved bool
}

func (p *progress) has(t Target, id cicadapitch.EndpointID) bool {
	return p.Target.equal(t) && slices.Contains(p.Done, id)
}

func (p *progress) add(t Target, id cicadapitch.EndpointID) {
	if !p.Target.equal(t) {
		p.Target = t
		p.Done = nil
	}
	if !slices.Contains(p.Done, id) {
		p.Done = append(p.Done, id)
		p.unsaved = true
	}
}

// readProgress reads the record of a shard. There is none before the first
// order.
func readProgress(ctx context.Context, store cicadapitch.Store, id cicadapitch.ShardID) (progress, error) {
	pair, err := store.Get(ctx, keyPrefix+string(id))
	if cicadapitch.KindOf(err) == cicadapitch.NotFound {
		return progress{}, nil
	}
	if err != nil {
		return progress{}, err
	}
	var p progress
	if err := json.Unmarshal(pair.Value, &p); err != nil {
		return progress{}, cicadapitch.Wrap(err)
	}
	p.revision = pair.Revision
	return p, nil
}

// save writes the record where it has changed. A Conflict says that another
// owner has written since.
func (p *progress) save(ctx context.Context, store cicadapitch.Store, id cicadapitch.ShardID) error {
	if !p.unsaved {
		return nil
	}
	value, err := json.Marshal(p)
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	key := keyPrefix + string(id)
	revision, err := store.Commit(ctx,
		[]cicadapitch.Condition{{Key: key, Revision: p.revision}},
		[]cicadapitch.Write{{Key: key, Value: value}})
	if err != nil {
		return err
	}
	p.revision = revision
	p.unsaved = false
	return nil
}
