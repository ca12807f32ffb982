package host

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

const (
	// statusBytes is about what a Status takes on the wire.
	statusBytes cicadapitch.Bytes = 22
	// recordBytes is about what a Record takes besides its strings.
	recordBytes cicadapitch.Bytes = 56
	// claimBytes is about what a Claim takes besides its string.
	claimBytes cicadapitch.Bytes = 6
)

// update is a change that is still being passed on.
type update struct {
	ref Ref
	// full items pass on the record, the others its status.
	full          bool
	urgent        bool
	transmissions int
}

// transmitLimit is how often the item is passed on among n hosts. Comparing digests
// finds the few hosts that an item has missed; urgent items must miss none.
func (u update) transmitLimit(n int) int {
	if u.urgent {
		return fanout + bits.Len(uint(n))
	}
	return 1 + bits.Len(uint(n))/4
}

// news are the changes that are still being passed on.
type updateQueue struct {
	pending []update
}

// add starts to pass on a change. It replaces an older one of the same host.
func (n *updateQueue) add(u update) {
	i := slices.IndexFunc(n.pending, func(older update) bool { return older.ref == u.ref })
	if i >= 0 {
		older := n.pending[i]
		u.full = u.full || (older.full && older.transmissions == 0)
		u.urgent = u.urgent || (older.urgent && older.transmissions < fanout)
		n.pending = slices.Delete(n.pending, i, i+1)
	}
	// When very much happens at once, comparing digests is cheaper.
	u.urgent = u.urgent && n.urgentCount() < maxUrgentUpdates
	n.pending = append(n.pending, u)
}

func (n *updateQueue) urgentCount() int {
	return lo.CountBy(n.pending, func(u update) bool { return u.urgent })
}

// take fills budget with changes and counts them as sent: urgent ones first,
// then the least often sent, then the newest. What the receiver has just told
// is left out.
func (n *updateQueue) take(t *table, budget cicadapitch.Bytes, known []Status) (statuses []Status, records []Record, used cicadapitch.Bytes) {
	slices.SortStableFunc(n.pending, update.compare)
	for i := len(n.pending) - 1; i >= 0; i-- {
		u := &n.pending[i]
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
	n.dropSent(t)
	return statuses, records, used
}

// countAsSent counts the changes as sent to a host that knows them already, because
// its digest is the same. Digests do not cover what is urgent.
func (n *updateQueue) countAsSent(t *table) {
	for i := range n.pending {
		if !n.pending[i].urgent {
			n.pending[i].transmissions++
		}
	}
	n.dropSent(t)
}

// dropSent drops what was sent often enough.
func (n *updateQueue) dropSent(t *table) {
	n.pending = slices.DeleteFunc(n.pending, func(u update) bool {
		return u.transmissions >= u.transmitLimit(t.alive) || t.byRef[u.ref] == nil
	})
}

// compare puts what goes first last.
func (u update) compare(other update) int {
	if u.urgent != other.urgent {
		if u.urgent {
			return 1
		}
		return -1
	}
	return cmp.Compare(other.transmissions, u.transmissions)
}

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
