package cicadapitch

import "context"

// StoreRevision orders the writes of the platform's key-value service.
type StoreRevision int64

// LeaseID names a lease of the platform's key-value service.
type LeaseID int64

// MaxValueBytes is the largest value the key-value service holds.
const MaxValueBytes Bytes = 1 << 20

// Pair is a key with its value and the revision that last changed it.
type Pair struct {
	Key      string
	Value    []byte
	Revision StoreRevision
	Lease    LeaseID
}

// Compare is a condition of a commit: the key was last changed at Revision.
// Revision 0 means that the key does not exist.
type Compare struct {
	Key      string
	Revision StoreRevision
}

// Put is one write of a commit. A Delete ignores Value.
type Put struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// WatchEvent is one change, or the end of a watch where Err is set.
type WatchEvent struct {
	Pair    Pair
	Deleted bool
	Err     error
}

// Store is the platform's key-value service. Its errors are of kind Conflict
// (a condition did not hold), Unavailable (no effect) or OutcomeUnknown (the
// write may have taken effect).
type Store interface {
	// Get returns the pair of a key, or a NotFound error.
	Get(ctx context.Context, key string) (Pair, error)
	// List returns the pairs below a prefix and the revision they were read at.
	List(ctx context.Context, prefix string) ([]Pair, StoreRevision, error)
	// Commit makes all writes at once if all conditions hold.
	Commit(ctx context.Context, conditions []Compare, writes []Put) (StoreRevision, error)
	// Grant makes a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl Millis) (LeaseID, error)
	// Renew extends a lease and returns the span it now has. A lapsed lease
	// gives a NotFound error.
	Renew(ctx context.Context, id LeaseID) (Millis, error)
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch sends the changes below a prefix after a revision until ctx ends.
	// The channel is closed after an event with Err.
	Watch(ctx context.Context, prefix string, after StoreRevision) (<-chan WatchEvent, error)
}

// ListedHost is one line of the platform's lagging list of hosts.
type ListedHost struct {
	Host        HostID
	PeerAddress string
	Leaving     bool
}

// HostList is the platform's lagging list of live and leaving hosts.
type HostList interface {
	// Hosts returns the list.
	Hosts(ctx context.Context) ([]ListedHost, error)
}
