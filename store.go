package cicadapitch

import "context"

// StoreRevision is a revision of the platform's key-value service: a number within an era. Later writes
// have higher revisions. A service that comes back from an older copy gives out numbers again, in a new
// era whose revisions are higher than all before. 0 is no revision.
type StoreRevision int64

// StoreEra counts the times that the key-value service has come back from an older copy. It is 0 for a
// service that names none.
type StoreEra int64

const (
	// revisionNumberBits is the size of a number within a StoreRevision. The era has the bits above it.
	revisionNumberBits = 40
	// MaxRevisionNumber is the largest number within a StoreRevision.
	MaxRevisionNumber = 1<<revisionNumberBits - 1
	// MaxStoreEra is the largest era of a StoreRevision.
	MaxStoreEra StoreEra = 1<<(63-revisionNumberBits) - 1
)

// NewStoreRevision returns the revision with a number in an era. Without a number there is none.
func NewStoreRevision(e StoreEra, number int64) StoreRevision {
	if number == 0 {
		return 0
	}
	return StoreRevision(int64(e)<<revisionNumberBits | number&MaxRevisionNumber)
}

// Era returns the era of the revision.
func (r StoreRevision) Era() StoreEra { return StoreEra(r >> revisionNumberBits) }

// Number returns the number of the revision within its era.
func (r StoreRevision) Number() int64 { return int64(r) & MaxRevisionNumber }

// LeaseID identifies a lease of the platform's key-value service. 0 means no
// lease.
type LeaseID int64

// MaxValueBytes is the maximum size of a value in the key-value service.
const MaxValueBytes Bytes = 1 << 20

// KeyValue is a key with its value, the revision that last changed it and the lease
// that it is bound to.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision StoreRevision
	Lease    LeaseID
}

// Condition is a condition of a commit. It holds if the key was last changed at
// Revision, or, for Revision 0, if the key does not exist.
type Condition struct {
	Key      string
	Revision StoreRevision
}

// Write is one write of a commit. If Delete is set, it deletes the key and ignores
// Value.
type Write struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// WatchEvent is one change of a key. If Err is set, the event is the last one of
// the watch and carries no change.
type WatchEvent struct {
	Pair    KeyValue
	Deleted bool
	Err     error
}

// Store is a client of the platform's key-value service. Its methods return,
// among others, errors of the kinds Conflict (a condition did not hold),
// Unavailable (the call had no effect) and OutcomeUnknown (the write may have
// taken effect).
type Store interface {
	// Get returns the pair with the given key, or a NotFound error.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns the pairs whose keys begin with prefix and the revision at
	// which they were read.
	List(ctx context.Context, prefix string) ([]KeyValue, StoreRevision, error)
	// Commit applies all writes atomically if all conditions hold, and returns
	// their revision. If a condition does not hold, it applies none and
	// returns a Conflict error.
	Commit(ctx context.Context, conditions []Condition, writes []Write) (StoreRevision, error)
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl Millis) (LeaseID, error)
	// Renew extends a lease and returns its remaining time. For an expired
	// lease it returns a NotFound error.
	Renew(ctx context.Context, id LeaseID) (Millis, error)
	// Revoke ends a lease and deletes the keys that are bound to it.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch streams the changes after the given revision to keys that begin
	// with prefix, until ctx ends. The channel is closed after an event with
	// Err. Err is a NotFound error if the store no longer has the changes after
	// the given revision.
	Watch(ctx context.Context, prefix string, after StoreRevision) (<-chan WatchEvent, error)
}

// ListedHost is one entry of the platform's list of hosts.
type ListedHost struct {
	Host        HostID
	PeerAddress string
	Leaving     bool
}

// HostList is a client of the platform's list of live and leaving hosts. The
// list may be out of date.
type HostList interface {
	// Hosts fetches the current list.
	Hosts(ctx context.Context) ([]ListedHost, error)
}
