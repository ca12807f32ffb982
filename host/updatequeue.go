package host

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

const (
	// statusBytes is the approximate size of a Status on the wire.
	statusBytes cicadapitch.Bytes = 22
	// recordBytes is the approximate size of a Record on the wire, without its
	// strings and claims.
	recordBytes cicadapitch.Bytes = 56
	// claimBytes is the approximate size of a Claim on the wire, without its
	// shard.
	claimBytes cicadapitch.Bytes = 6
)

// update is a change of an entry that is still to be sent to other hosts.
type update struct {
	ref Ref
	// full selects the whole record instead of its status.
	full bool
	// urgent updates are sent first and more often.
	urgent bool
	// transmissions is how often the update has been sent since it was added.
	transmissions int
}

// transmitLimit returns how often this host sends the update in a deployment of n
// hosts. Comparisons of digests repair the few hosts that an update does not
// reach; an urgent update must reach all hosts without them.
func (u update) transmitLimit(n int) int {
	if u.urgent {
		return fanout + bits.Len(uint(n))
	}
	return 1 + bits.Len(uint(n))/4
}

// updateQueue holds the updates that are still to be sent, at most one per host.
type updateQueue struct {
	pending []update
}

// add queues an update and replaces an older one of the same host.
func (q *updateQueue) add(u update) {
	i := slices.IndexFunc(q.pending, func(older update) bool { return older.ref == u.ref })
	if i >= 0 {
		older := q.pending[i]
		u.full = u.full || (older.full && older.transmissions == 0)
		u.urgent = u.urgent || (older.urgent && older.transmissions < fanout)
		q.pending = slices.Delete(q.pending, i, i+1)
	}
	// When many hosts change at once, comparing digests is cheaper than urgent
	// updates.
	u.urgent = u.urgent && q.urgentCount() < maxUrgentUpdates
	q.pending = append(q.pending, u)
}

func (q *updateQueue) urgentCount() int {
	return lo.CountBy(q.pending, func(u update) bool { return u.urgent })
}

// take returns updates for one message, up to budget bytes, and counts them as
// sent: urgent ones first, then the least often sent, then the newest. Updates
// that the receiver has in known are left out. used is their size.
func (q *updateQueue) take(t *table, budget cicadapitch.Bytes, known []Status) (statuses []Status, records []Record, used cicadapitch.Bytes) {
	slices.SortStableFunc(q.pending, update.compare)
	for i := len(q.pending) - 1; i >= 0; i-- {
		u := &q.pending[i]
		e := t.byRef[u.ref]
		if e == nil || slices.ContainsFunc(known, e.matches) {
			continue
		}
		size := sizeOf(e, u.full)
		if used+size > budget {
			break
		}
		used += size
		u.transmissions++
		if u.full {
			records = append(records, e.record())
		} else {
			statuses = append(statuses, e.status())
		}
	}
	q.dropSent(t)
	return statuses, records, used
}

// countAsSent counts the pending updates as sent to a host whose digest is the
// same, since the host knows them already. Urgent updates are excepted, because digests
// do not cover Health.
func (q *updateQueue) countAsSent(t *table) {
	for i := range q.pending {
		if !q.pending[i].urgent {
			q.pending[i].transmissions++
		}
	}
	q.dropSent(t)
}

// dropSent drops the updates that have reached their limit of transmissions, and
// those of hosts that are no longer in the table.
func (q *updateQueue) dropSent(t *table) {
	q.pending = slices.DeleteFunc(q.pending, func(u update) bool {
		return u.transmissions >= u.transmitLimit(t.notGone) || t.byRef[u.ref] == nil
	})
}

// compare orders updates by rising priority: those to send first come last.
func (u update) compare(other update) int {
	if u.urgent != other.urgent {
		if u.urgent {
			return 1
		}
		return -1
	}
	return cmp.Compare(other.transmissions, u.transmissions)
}

// sizeOf returns the approximate wire size of an entry's record, or of its status
// if full is false.
func sizeOf(e *entry, full bool) cicadapitch.Bytes {
	if !full {
		return statusBytes
	}
	m := e.member
	size := recordBytes + cicadapitch.Bytes(len(m.Host)+len(m.Zone)+len(m.Region)+len(m.PeerAddress)+len(m.CallerURL))
	for _, c := range m.Claims {
		size += claimBytes + cicadapitch.Bytes(len(c.Shard))
	}
	return size
}
