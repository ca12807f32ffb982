package fleet

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// Rank orders candidates for a key by rendezvous hashing, the first choice first.
// Hosts that know the same candidates compute the same order, and removing a
// candidate reassigns only the keys that ranked it first. id returns the unique id of
// a candidate.
func Rank[T any](key string, candidates []T, id func(T) string) []T {
	// Candidates may be large, so that only their indices are sorted.
	type scored struct {
		hash  uint64
		index int
	}
	h := newScorer(key)
	ranked := make([]scored, len(candidates))
	for i, c := range candidates {
		ranked[i] = scored{h.score(id(c)), i}
	}
	slices.SortFunc(ranked, func(a, b scored) int { return cmp.Compare(b.hash, a.hash) })
	out := make([]T, len(ranked))
	for i, s := range ranked {
		out[i] = candidates[s.index]
	}
	return out
}

// First returns the first of the candidates in the order of Rank that accept accepts, or false if it
// accepts none. It does not sort.
func First[T any](key string, candidates []T, id func(T) string, accept func(T) bool) (T, bool) {
	h := newScorer(key)
	best, highest := -1, uint64(0)
	for i, c := range candidates {
		if !accept(c) {
			continue
		}
		if score := h.score(id(c)); best < 0 || score > highest {
			best, highest = i, score
		}
	}
	if best < 0 {
		var none T
		return none, false
	}
	return candidates[best], true
}

// Scores appends the hashes of the candidates for a key to dst. A candidate with a higher hash comes
// earlier in the order of Rank.
func Scores[T any](dst []uint64, key string, candidates []T, id func(T) string) []uint64 {
	h := newScorer(key)
	for _, c := range candidates {
		dst = append(dst, h.score(id(c)))
	}
	return dst
}

// Position returns the position of the candidate with an id in the order of Rank, or -1 if there is none. It
// does not sort.
func Position[T any](key string, candidates []T, id func(T) string, of string) int {
	h := newScorer(key)
	own, before, found := h.score(of), 0, false
	for _, c := range candidates {
		switch candidate := id(c); {
		case candidate == of:
			found = true
		case h.score(candidate) > own:
			before++
		}
	}
	if !found {
		return -1
	}
	return before
}

// scorer computes the hashes of candidates for a key.
type scorer struct {
	buf    []byte
	prefix int
}

func newScorer(key string) *scorer {
	buf := append(make([]byte, 0, len(key)+maxInlineID), key...)
	buf = append(buf, 0)
	return &scorer{buf, len(buf)}
}

// maxInlineID is the length of an id up to which score does not allocate.
const maxInlineID = 64

func (s *scorer) score(id string) uint64 {
	s.buf = append(s.buf[:s.prefix], id...)
	return xxh3.Hash(s.buf)
}
