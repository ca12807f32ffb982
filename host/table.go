package host

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// bucketCount is the number of buckets into which the entries of a table are
// divided for comparisons between hosts.
const bucketCount = 32

// table holds the entries of all known hosts, this host included.
type table struct {
	// entries are ordered by host id, so that runs with the same random seed
	// are the same.
	entries []*entry
	byRef   map[Ref]*entry
	// retired holds the replaced incarnations and when to evict them.
	retired map[Ref]cicadapitch.Instant
	// buckets holds, for each bucket, the XOR of the hashes of its entries.
	buckets [bucketCount]uint32
	// notGone is the number of hosts that are Alive or Suspected, and suspected the
	// number of hosts that are Suspected.
	notGone   int
	suspected int
}

func newTable() *table {
	return &table{byRef: make(map[Ref]*entry), retired: make(map[Ref]cicadapitch.Instant)}
}

func bucketOf(ref Ref) int { return int(ref % bucketCount) }

// find returns the entry of a host, or nil if there is none.
func (t *table) find(id cicadapitch.HostID) *entry {
	i, ok := t.search(id)
	if !ok {
		return nil
	}
	return t.entries[i]
}

func (t *table) search(id cicadapitch.HostID) (int, bool) {
	return slices.BinarySearchFunc(t.entries, id, func(e *entry, id cicadapitch.HostID) int {
		return cmp.Compare(e.member.Host, id)
	})
}

// put adds an entry, or replaces the entry of the same host.
func (t *table) put(e *entry) {
	i, ok := t.search(e.member.Host)
	if ok {
		t.exclude(t.entries[i])
		delete(t.byRef, t.entries[i].ref)
		t.entries[i] = e
	} else {
		t.entries = slices.Insert(t.entries, i, e)
	}
	t.byRef[e.ref] = e
	t.include(e)
}

// update runs fn, which changes e, and keeps the buckets and counts consistent.
func (t *table) update(e *entry, fn func()) {
	t.exclude(e)
	fn()
	t.include(e)
}

func (t *table) remove(e *entry) {
	i, ok := t.search(e.member.Host)
	if !ok || t.entries[i] != e {
		return
	}
	t.exclude(e)
	delete(t.byRef, e.ref)
	t.entries = slices.Delete(t.entries, i, i+1)
}

func (t *table) include(e *entry) { t.adjust(e, 1) }

func (t *table) exclude(e *entry) { t.adjust(e, -1) }

// adjust adds n, which is 1 or -1, to the counts for e, and adds or removes the
// hash of e in its bucket.
func (t *table) adjust(e *entry, n int) {
	t.buckets[bucketOf(e.ref)] ^= e.hash()
	if e.health != Gone {
		t.notGone += n
	}
	if e.health == Suspected {
		t.suspected += n
	}
}

// digest returns a hash of all buckets.
func (t *table) digest() uint64 {
	var b [4 * bucketCount]byte
	for i, v := range t.buckets {
		binary.LittleEndian.PutUint32(b[4*i:], v)
	}
	return xxh3.Hash(b[:])
}

// liveMembers returns the members that are not Gone, ordered by host id.
func (t *table) liveMembers() []cicadapitch.Member {
	list := make([]cicadapitch.Member, 0, t.notGone)
	for _, e := range t.entries {
		if e.health != Gone {
			list = append(list, e.memberView())
		}
	}
	return list
}

// evictExpired removes expired entries of hosts that are Gone, and expired retired
// incarnations. Neither is part of the counts or the digest.
func (t *table) evictExpired(now cicadapitch.Instant) {
	for ref, evictAt := range t.retired {
		if evictAt <= now {
			delete(t.retired, ref)
		}
	}
	t.entries = slices.DeleteFunc(t.entries, func(e *entry) bool {
		expired := e.health == Gone && e.expiresAt <= now
		if expired {
			delete(t.byRef, e.ref)
		}
		return expired
	})
}
