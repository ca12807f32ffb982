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
	list  []*entry
	byRef map[Ref]*entry
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
	return t.list[i]
}

func (t *table) search(id cicadapitch.HostID) (int, bool) {
	return slices.BinarySearchFunc(t.list, id, func(e *entry, id cicadapitch.HostID) int {
		return cmp.Compare(e.member.Host, id)
	})
}

// put adds an entry or replaces the one of the same host.
func (t *table) put(e *entry) {
	i, ok := t.search(e.member.Host)
	if ok {
		t.uncount(t.list[i])
		delete(t.byRef, t.list[i].ref)
		t.list[i] = e
	} else {
		t.list = slices.Insert(t.list, i, e)
	}
	t.byRef[e.ref] = e
	t.count(e)
}

// change changes an entry and keeps the digest and counts right.
func (t *table) change(e *entry, fn func()) {
	t.uncount(e)
	fn()
	t.count(e)
}

func (t *table) remove(e *entry) {
	i, ok := t.search(e.member.Host)
	if !ok || t.list[i] != e {
		return
	}
	t.uncount(e)
	delete(t.byRef, e.ref)
	t.list = slices.Delete(t.list, i, i+1)
}

func (t *table) count(e *entry) { t.add(e, 1) }

func (t *table) uncount(e *entry) { t.add(e, -1) }

func (t *table) add(e *entry, n int) {
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

// views returns the records of all hosts that are not Gone.
func (t *table) views() []cicadapitch.Member {
	list := make([]cicadapitch.Member, 0, t.alive)
	for _, e := range t.list {
		if e.health != Gone {
			list = append(list, e.view())
		}
	}
	return list
}

// forget drops what is Gone or retired for long. Neither is counted.
func (t *table) forget(now cicadapitch.Instant) {
	for ref, until := range t.retired {
		if until <= now {
			delete(t.retired, ref)
		}
	}
	t.list = slices.DeleteFunc(t.list, func(e *entry) bool {
		old := e.health == Gone && e.until <= now
		if old {
			delete(t.byRef, e.ref)
		}
		return old
	})
}
