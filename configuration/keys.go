package configuration

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
)

// Keys of the store.
const (
	// KeyCurrent holds the whole configuration.
	KeyCurrent = "configuration/current"
	// KeyHead holds a Head. It is small, so that it can be watched and read
	// often, and it is written together with KeyCurrent.
	KeyHead = "configuration/head"

	auditPrefix = "audit/"
	// auditBucket is how many records share all but the last digits of
	// their key.
	auditBucket = 100
)

// Head names the accepted configuration and the latest changes.
type Head struct {
	Revision cicadapitch.Revision
	// Recent are the latest changes, the newest last.
	Recent []AcceptedChange
}

// AcceptedChange says which revision a change led to.
type AcceptedChange struct {
	Change   cicadapitch.ChangeID
	Revision cicadapitch.Revision
}

func (h Head) find(id cicadapitch.ChangeID) (cicadapitch.Revision, bool) {
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

// auditBucketPrefix returns what the keys of the records near r begin with.
func auditBucketPrefix(r cicadapitch.Revision) string {
	return fmt.Sprintf("%s%010d", auditPrefix, r/auditBucket)
}
