package rollout

import (
	"context"
	"encoding/json"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// keyPrefix is the prefix of the store keys of progress records.
const keyPrefix = "rollout/"

// progress records which engines of a shard have accepted their target. It is
// kept in the store, so that the next owner of the shard can resume the rollout.
type progress struct {
	Target Target
	// Done are the engines that have accepted the target.
	Done []cicadapitch.EndpointID

	revision cicadapitch.StoreRevision
	// unsaved is true while the store lacks the latest progress.
	unsaved bool
}

// accepted reports whether an engine has accepted the target t.
func (p *progress) accepted(t Target, id cicadapitch.EndpointID) bool {
	return p.Target.equal(t) && slices.Contains(p.Done, id)
}

// recordAccepted records that an engine has accepted the target t.
func (p *progress) recordAccepted(t Target, id cicadapitch.EndpointID) {
	if !p.Target.equal(t) {
		p.Target = t
		p.Done = nil
	}
	if !slices.Contains(p.Done, id) {
		p.Done = append(p.Done, id)
		p.unsaved = true
	}
}

// readProgress reads the progress of a shard from the store. Before the first
// order, the progress is empty.
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

// save writes the progress to the store if it has changed. A Conflict error
// means that the record was written since it was read.
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
