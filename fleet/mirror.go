package fleet

import (
	"slices"
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

// Change is a record that replaced the one that was known of its key.
type Change struct {
	Record
	// Before is the record before, or has no revision if there was none.
	Before Record
}

// Restored reports whether the record is the first of its key that is known of a later era of the store.
// The store may have it from a copy that is older than Before.
func (c Change) Restored() bool {
	return c.Before.Revision != 0 && c.Before.Revision.Era() < c.Revision.Era()
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
	// knownFrom is the revision from which on every removal is known, but for gaps: the spans
	// that a listing skipped.
	knownFrom cicadapitch.StoreRevision
	gaps      []span
	// recent holds the keys and revisions that were stored last. All others are of recentFrom or
	// before.
	recent     []storedKey
	recentFrom cicadapitch.StoreRevision
	// removed holds the removed keys in the order in which their removals were stored.
	removed []storedKey
}

// storedKey says that a key was stored with a revision. A later one may have replaced that.
type storedKey struct {
	key      string
	revision cicadapitch.StoreRevision
}

// maxRecent is the number of keys stored last that a Mirror remembers at least. It forgets the others once
// there are twice as many.
const maxRecent = 512

// span is the revisions between two others.
type span struct{ after, next cicadapitch.StoreRevision }

// maxGaps bounds the spans that a Mirror remembers.
const maxGaps = 8

//go:generate go tool -modfile=../tools/go.mod enumer -type=Scope

// Scope says what the records of an answer to another host are.
type Scope int

const (
	// Some are not known to be all changes.
	Some Scope = iota
	// AllChanges are all changes after the revision that was asked for.
	AllChanges
	// Listing is all keys there are.
	Listing
)

// NewMirror returns an empty copy.
func NewMirror() *Mirror { return &Mirror{records: map[string]storedRecord{}} }

// Revision returns the store revision up to which the copy is complete, or 0
// before the first change.
func (m *Mirror) Revision() cicadapitch.StoreRevision { return m.revision }

// Value returns the value of a key, and false if the copy has none.
func (m *Mirror) Value(key string) ([]byte, bool) {
	stored, ok := m.records[key]
	return stored.Value, ok && !stored.Removed
}

// Apply merges changes. With them, the copy is complete up to the revision upTo.
// It ignores records that are not newer than the stored ones and returns the
// others.
func (m *Mirror) Apply(now cicadapitch.Instant, changes []Record, upTo cicadapitch.StoreRevision) []Change {
	var applied []Change
	for _, r := range changes {
		stored, ok := m.records[r.Key]
		if ok && stored.Revision >= r.Revision {
			continue
		}
		m.records[r.Key] = storedRecord{r, now}
		m.recent = append(m.recent, storedKey{r.Key, r.Revision})
		if r.Removed {
			m.removed = append(m.removed, storedKey{r.Key, r.Revision})
		}
		applied = append(applied, Change{r, stored.Record})
	}
	m.trimRecent()
	m.revision = max(m.revision, upTo)
	m.removeTombstones(now)
	return applied
}

// Replace merges a full listing of the keys below prefix, taken at the revision listedAt.
// Stored keys that the listing lacks are marked as removed unless they are newer
// than the listing. It returns the records that changed.
func (m *Mirror) Replace(now cicadapitch.Instant, prefix string, listing []Record, listedAt cicadapitch.StoreRevision) []Change {
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
	if listedAt > m.revision {
		m.skip(m.revision, listedAt)
	}
	return m.Apply(now, changes, listedAt)
}

// skip records that removals between two revisions may be unknown.
func (m *Mirror) skip(after, next cicadapitch.StoreRevision) {
	if after == 0 || len(m.gaps) == maxGaps {
		m.knownFrom, m.gaps = next, nil
		return
	}
	m.gaps = append(m.gaps, span{after, next})
}

// knowsSince reports whether all changes after a revision are known.
func (m *Mirror) knowsSince(revision cicadapitch.StoreRevision) bool {
	return revision.Era() == m.revision.Era() && revision >= m.knownFrom && !slices.ContainsFunc(m.gaps, func(g span) bool {
		return revision > g.after && revision < g.next
	})
}

// Answer returns what another host has to know that is complete up to a revision: the changes since,
// or all keys if some of the changes are not known and the host takes a listing.
func (m *Mirror) Answer(since cicadapitch.StoreRevision, takesListing bool) ([]Record, Scope) {
	switch {
	case m.knowsSince(since):
		return m.ChangesSince(since), AllChanges
	case !takesListing:
		return m.ChangesSince(since), Some
	}
	var all []Record
	for _, stored := range m.records {
		if !stored.Removed {
			all = append(all, stored.Record)
		}
	}
	return all, Listing
}

// Merge applies the answer of another host that is complete up to a revision, and returns the
// records that changed.
func (m *Mirror) Merge(now cicadapitch.Instant, records []Record, scope Scope, upTo cicadapitch.StoreRevision) []Change {
	switch {
	case scope == AllChanges:
		return m.Apply(now, records, upTo)
	case scope == Listing && upTo > m.revision:
		return m.Replace(now, "", records, upTo)
	}
	return m.Apply(now, records, 0)
}

// ChangesSince returns the records that changed after a revision, including
// removals, in no particular order.
func (m *Mirror) ChangesSince(revision cicadapitch.StoreRevision) []Record {
	var changes []Record
	if revision >= m.recentFrom {
		for _, k := range m.recent {
			if k.revision <= revision {
				continue
			}
			if stored, ok := m.records[k.key]; ok && stored.Revision == k.revision {
				changes = append(changes, stored.Record)
			}
		}
		return changes
	}
	for _, stored := range m.records {
		if stored.Revision > revision {
			changes = append(changes, stored.Record)
		}
	}
	return changes
}

// trimRecent forgets the first of the recent keys if there are twice as many as are kept.
func (m *Mirror) trimRecent() {
	if len(m.recent) <= 2*maxRecent {
		return
	}
	older := len(m.recent) - maxRecent
	for _, k := range m.recent[:older] {
		m.recentFrom = max(m.recentFrom, k.revision)
	}
	m.recent = slices.Clone(m.recent[older:])
}

// removeTombstones deletes the records of keys that were removed more than
// tombstoneLife ago. Changes from before their removal are no longer known.
func (m *Mirror) removeTombstones(now cicadapitch.Instant) {
	for len(m.removed) > 0 {
		k := m.removed[0]
		if stored, ok := m.records[k.key]; ok && stored.Removed && stored.Revision == k.revision {
			if now.Sub(stored.storedAt) <= tombstoneLife {
				return
			}
			delete(m.records, k.key)
			m.knownFrom = max(m.knownFrom, k.revision)
		}
		m.removed = m.removed[1:]
	}
}
