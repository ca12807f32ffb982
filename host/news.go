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

// item is a change that is still being passed on.
type item struct {
	ref Ref
	// full items pass on the record, the others its status.
	full   bool
	urgent bool
	sent   int
}

// limit is how often the item is passed on among n hosts. Comparing digests
// finds the few hosts that an item has missed; urgent items must miss none.
func (it item) limit(n int) int {
	if it.urgent {
		return fanout + bits.Len(uint(n))
	}
	return 1 + bits.Len(uint(n))/4
}

// news are the changes that are still being passed on.
type news struct {
	items []item
}

// add starts to pass on a change. It replaces an older one of the same host.
func (n *news) add(it item) {
	i := slices.IndexFunc(n.items, func(old item) bool { return old.ref == it.ref })
	if i >= 0 {
		old := n.items[i]
		it.full = it.full || (old.full && old.sent == 0)
		it.urgent = it.urgent || (old.urgent && old.sent < fanout)
		n.items = slices.Delete(n.items, i, i+1)
	}
	// When very much happens at once, comparing digests is cheaper.
	it.urgent = it.urgent && n.urgent() < maxUrgent
	n.items = append(n.items, it)
}

func (n *news) urgent() int {
	return lo.CountBy(n.items, func(it item) bool { return it.urgent })
}

// take fills budget with changes and counts them as sent: urgent ones first,
// then the least often sent, then the newest. What the receiver has just told
// is left out.
func (n *news) take(t *table, budget cicadapitch.Bytes, told []Status) (statuses []Status, records []Record, used cicadapitch.Bytes) {
	slices.SortStableFunc(n.items, item.compare)
	for i := len(n.items) - 1; i >= 0; i-- {
		it := &n.items[i]
		e := t.byRef[it.ref]
		if e == nil || slices.ContainsFunc(told, e.says) {
			continue
		}
		size := sizeOf(e, it.full)
		if used+size > budget {
			break
		}
		used += size
		it.sent++
		if it.full {
			records = append(records, e.record())
		} else {
			statuses = append(statuses, e.status())
		}
	}
	n.sweep(t)
	return statuses, records, used
}

// agreed counts the changes as sent to a host that knows them already, because
// its digest is the same. Digests do not cover what is urgent.
func (n *news) agreed(t *table) {
	for i := range n.items {
		if !n.items[i].urgent {
			n.items[i].sent++
		}
	}
	n.sweep(t)
}

// sweep drops what was sent often enough.
func (n *news) sweep(t *table) {
	n.items = slices.DeleteFunc(n.items, func(it item) bool {
		return it.sent >= it.limit(t.alive) || t.byRef[it.ref] == nil
	})
}

// compare puts what goes first last.
func (it item) compare(o item) int {
	if it.urgent != o.urgent {
		if it.urgent {
			return 1
		}
		return -1
	}
	return cmp.Compare(o.sent, it.sent)
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
