package configuration

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
)

// Keys in the store.
const (
	// KeyCurrent holds the whole configuration.
	KeyCurrent = "configuration/current"
	// KeyHead holds a Head. Its value is small, so that hosts can watch and read
	// it often. It is written in one commit with KeyCurrent.
	KeyHead = "configuration/head"

	auditPrefix = "audit/"
	// auditBucketSize is the number of audit records in a bucket. The keys of a
	// bucket differ only in their last two digits.
	auditBucketSize = 100
)

// Head is the revision of the stored configuration and the latest changes.
type Head struct {
	Revision cicadapitch.Revision
	// Recent are the latest changes in ascending order of their revisions, at
	// most maxRecentChanges.
	Recent []AcceptedChange
}

// AcceptedChange is the id of a change and the revision that it produced.
type AcceptedChange struct {
	Change   cicadapitch.ChangeID
	Revision cicadapitch.Revision
}

// revisionOf returns the revision that a change produced and whether the change is
// among the recent ones.
func (h Head) revisionOf(id cicadapitch.ChangeID) (cicadapitch.Revision, bool) {
	for _, c := range h.Recent {
		if c.Change == id {
			return c.Revision, true
		}
	}
	return 0, false
}

func auditKey(r cicadapitch.Revision) string {
	return fmt.Sprintf("%s%012d", auditPrefix, r)
}

// auditBucketPrefix returns the key prefix of the bucket that contains the audit
// record of revision r.
func auditBucketPrefix(r cicadapitch.Revision) string {
	return fmt.Sprintf("%s%010d", auditPrefix, r/auditBucketSize)
}
