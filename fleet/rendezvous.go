package fleet

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Rank orders candidates by rendezvous hashing for a key: every host that knows
// the same candidates gets the same order, and a lost candidate moves only its
// own keys.
func Rank[T any](key string, candidates []T, name func(T) string) []T {
	type scored struct {
		item  T
		score uint64
	}
	list := make([]scored, len(candidates))
	for i, c := range candidates {
		list[i] = scored{c, xxh3.HashString(key + "\x00" + name(c))}
	}
	slices.SortFunc(list, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	out := make([]T, len(list))
	for i, s := range list {
		out[i] = s.item
	}
	return out
}
