package host

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// bucketCount divides the hosts for comparing what two hosts know.
const bucketCount = 32

// table holds what this host knows of all hosts, itself included.
type table struct {
	// list is ordered by host, so that equal seeds give equal runs.
	entries []*entry
	byRef   map[Ref]*entry
	// retired holds replaced incarnations and when to forget them.
	retired map[Ref]cicadapitch.Instant
	buckets [bucketCount]uint32
	// alive counts the hosts that are not Gone, suspected those of them that
	// are Suspected.
	alive     int
	suspected int
}

func newTable() *table {
	return &table{byRef: make(map[Ref]*entry), retired: make(map[Ref]cicadapitch.Instant)}
}

func bucketOf(ref Ref) int { return int(ref % bucketCount) }

// find returns the entry of a host, or nil.
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

// put adds an entry or replaces the one of the same host.
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

// update changes an entry and keeps the digest and counts right.
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

func (t *table) adjust(e *entry, n int) {
	t.buckets[bucketOf(e.ref)] ^= e.hash()
	if e.health != Gone {
		t.alive += n
	}
	if e.health == Suspected {
		t.suspected += n
	}
}

func (t *table) digest() uint64 {
	var b [4 * bucketCount]byte
	for i, v := range t.buckets {
		binary.LittleEndian.PutUint32(b[4*i:], v)
	}
	return xxh3.Hash(b[:])
}

// liveMembers returns the records of all hosts that are not Gone.
func (t *table) liveMembers() []cicadapitch.Member {
	list := make([]cicadapitch.Member, 0, t.alive)
	for _, e := range t.entries {
		if e.health != Gone {
			list = append(list, e.memberView())
		}
	}
	return list
}

// evictExpired drops what is Gone or retired for long. Neither is counted.
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
