package fleet

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Rank orders candidates for a key by rendezvous hashing, the first choice first.
// Hosts that know the same candidates compute the same order, and removing a
// candidate reassigns only the keys that ranked it first. id returns the unique id of
// a candidate.
func Rank[T any](key string, candidates []T, id func(T) string) []T {
	type scored struct {
		candidate T
		hash      uint64
	}
	ranked := make([]scored, len(candidates))
	for i, c := range candidates {
		ranked[i] = scored{c, xxh3.HashString(key + "\x00" + id(c))}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		switch {
		case a.hash > b.hash:
			return -1
		case a.hash < b.hash:
			return 1
		}
		return 0
	})
	out := make([]T, len(ranked))
	for i, s := range ranked {
		out[i] = s.candidate
	}
	return out
}
