// Package fleet holds what a host believes about the deployment: the
// configuration in force, the endpoints, the zones out of service and the other
// hosts. Beliefs are merged by the store's revisions, from the store and from
// other hosts alike, so that they never go back. It performs no I/O.
package fleet

import (
	"strings"

	"cicadapitch.example/cicadapitch"
)

// tombstoneLife is how long removals are remembered, far above the time that
// any message of an older state can be under way.
const tombstoneLife = cicadapitch.Minute

// Record is one key of the store as of a revision.
type Record struct {
	Key      string
	Value    []byte
	Revision cicadapitch.StoreRevision
	Removed  bool
}

type held struct {
	Record
	at cicadapitch.Instant
}

// Mirror is a copy of the store's keys. It is not safe for concurrent use.
type Mirror struct {
	records map[string]held
	// at is the revision up to which the copy is complete.
	at cicadapitch.StoreRevision
}

// NewMirror returns an empty copy.
func NewMirror() *Mirror { return &Mirror{records: map[string]held{}} }

// At returns the revision up to which the copy is complete, or 0.
func (m *Mirror) At() cicadapitch.StoreRevision { return m.at }

// Apply merges changes that are complete up to at. Records that are not newer
// than what is held change nothing. It returns those that did.
func (m *Mirror) Apply(now cicadapitch.Instant, changes []Record, at cicadapitch.StoreRevision) []Record {
	var out []Record
	for _, r := range changes {
		if h, ok := m.records[r.Key]; ok && h.Revision >= r.Revision {
			continue
		}
		m.records[r.Key] = held{r, now}
		out = append(out, r)
	}
	m.at = max(m.at, at)
	m.sweep(now)
	return out
}

// Replace merges a full listing below prefix, taken at a revision. Keys that it
// lacks are removed unless they are newer than the listing.
func (m *Mirror) Replace(now cicadapitch.Instant, prefix string, list []Record, at cicadapitch.StoreRevision) []Record {
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.Key] = true
	}
	changes := append([]Record(nil), list...)
	for k, h := range m.records {
		if strings.HasPrefix(k, prefix) && !listed[k] && !h.Removed && h.Revision <= at {
			changes = append(changes, Record{Key: k, Revision: at, Removed: true})
		}
	}
	return m.Apply(now, changes, at)
}

// Since returns the changes after a revision, removals among them.
func (m *Mirror) Since(revision cicadapitch.StoreRevision) []Record {
	var out []Record
	for _, h := range m.records {
		if h.Revision > revision {
			out = append(out, h.Record)
		}
	}
	return out
}

func (m *Mirror) sweep(now cicadapitch.Instant) {
	for k, h := range m.records {
		if h.Removed && now.Sub(h.at) > tombstoneLife {
			delete(m.records, k)
		}
	}
}
