package catalog

import (
	"hash/maphash"
	"maps"
)

// tableShards is the number of shards of a table. A change copies the shards that it
// touches.
const tableShards = 64

// tableSeed is the seed of the hash that assigns keys to shards.
var tableSeed = maphash.MakeSeed()

// table is an immutable map. Versions of a table share the shards that did not change.
type table[K comparable, V any] struct {
	shards [tableShards]*shard[K, V]
	size   int
}

type shard[K comparable, V any] struct{ entries map[K]V }

func shardOf[K comparable](key K) int {
	return int(maphash.Comparable(tableSeed, key) % tableShards)
}

func (t *table[K, V]) get(key K) (V, bool) {
	s := t.shards[shardOf(key)]
	if s == nil {
		var none V
		return none, false
	}
	v, ok := s.entries[key]
	return v, ok
}

// difference calls set for each entry of next that t lacks or has with another value, and
// removed for each entry of t that next lacks. It skips the shards that both share.
func (t *table[K, V]) difference(next *table[K, V], equal func(a, b V) bool, set func(K, V), removed func(K)) {
	for i, s := range next.shards {
		before := t.shards[i]
		if s == before {
			continue
		}
		if s != nil {
			for k, v := range s.entries {
				if before != nil {
					if old, ok := before.entries[k]; ok && equal(old, v) {
						continue
					}
				}
				set(k, v)
			}
		}
		if before == nil {
			continue
		}
		for k := range before.entries {
			if s != nil {
				if _, ok := s.entries[k]; ok {
					continue
				}
			}
			removed(k)
		}
	}
}

// tableEditor makes a changed copy of a table.
type tableEditor[K comparable, V any] struct {
	table table[K, V]
	// copied holds the shards that belong to the copy alone.
	copied [tableShards]bool
}

func (t *table[K, V]) edit() *tableEditor[K, V] { return &tableEditor[K, V]{table: *t} }

// own returns the shard of a key after copying it if it is shared.
func (e *tableEditor[K, V]) own(key K) *shard[K, V] {
	i := shardOf(key)
	if !e.copied[i] {
		s := &shard[K, V]{entries: map[K]V{}}
		if old := e.table.shards[i]; old != nil {
			s.entries = make(map[K]V, len(old.entries)+1)
			maps.Copy(s.entries, old.entries)
		}
		e.table.shards[i], e.copied[i] = s, true
	}
	return e.table.shards[i]
}

func (e *tableEditor[K, V]) set(key K, v V) {
	s := e.own(key)
	before := len(s.entries)
	s.entries[key] = v
	e.table.size += len(s.entries) - before
}

func (e *tableEditor[K, V]) remove(key K) {
	s := e.own(key)
	before := len(s.entries)
	delete(s.entries, key)
	e.table.size += len(s.entries) - before
}
