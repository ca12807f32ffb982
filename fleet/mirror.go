package fleet

import (
	"strings"

	"cicadapitch.example/cicadapitch"
)

// tombstoneLife is how long a removed key is remembered. It is far longer than a
// message with an older record can be in transit, so such a message does not
// restore the key.
const tombstoneLife = cicadapitch.Minute

// Record is one key of the store as of a revision.
type Record struct {
	Key      string
	Value    []byte
	Revision cicadapitch.StoreRevision
	Removed  bool
}

type storedRecord struct {
	Record
	storedAt cicadapitch.Instant
}

// Mirror is a local copy of the store's keys. It is not safe for concurrent use.
type Mirror struct {
	records map[string]storedRecord
	// revision is the store revision up to which the copy is complete.
	revision cicadapitch.StoreRevision
}

// NewMirror returns an empty copy.
func NewMirror() *Mirror { return &Mirror{records: map[string]storedRecord{}} }

// Revision returns the store revision up to which the copy is complete, or 0
// before the first change.
func (m *Mirror) Revision() cicadapitch.StoreRevision { return m.revision }

// Apply merges changes. With them, the copy is complete up to the revision upTo.
// It ignores records that are not newer than the stored ones and returns the
// others.
func (m *Mirror) Apply(now cicadapitch.Instant, changes []Record, upTo cicadapitch.StoreRevision) []Record {
	var applied []Record
	for _, r := range changes {
		if stored, ok := m.records[r.Key]; ok && stored.Revision >= r.Revision {
			continue
		}
		m.records[r.Key] = storedRecord{r, now}
		applied = append(applied, r)
	}
	m.revision = max(m.revision, upTo)
	m.removeTombstones(now)
	return applied
}

// Replace merges a full listing of the keys below prefix, taken at the revision listedAt.
// Stored keys that the listing lacks are marked as removed unless they are newer
// than the listing. It returns the records that changed.
func (m *Mirror) Replace(now cicadapitch.Instant, prefix string, listing []Record, listedAt cicadapitch.StoreRevision) []Record {
	listed := make(map[string]bool, len(listing))
	for _, r := range listing {
		listed[r.Key] = true
	}
	changes := append([]Record(nil), listing...)
	for k, stored := range m.records {
		if strings.HasPrefix(k, prefix) && !listed[k] && !stored.Removed && stored.Revision <= listedAt {
			changes = append(changes, Record{Key: k, Revision: listedAt, Removed: true})
		}
	}
	return m.Apply(now, changes, listedAt)
}

// ChangesSince returns the records that changed after a revision, including
// removals, in no particular order.
func (m *Mirror) ChangesSince(revision cicadapitch.StoreRevision) []Record {
	var changes []Record
	for _, stored := range m.records {
		if stored.Revision > revision {
			changes = append(changes, stored.Record)
		}
	}
	return changes
}

// removeTombstones deletes the records of keys that were removed more than
// tombstoneLife ago.
func (m *Mirror) removeTombstones(now cicadapitch.Instant) {
	for k, stored := range m.records {
		if stored.Removed && now.Sub(stored.storedAt) > tombstoneLife {
			delete(m.records, k)
		}
	}
}
