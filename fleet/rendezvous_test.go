package fleet_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch/fleet"
)

func TestRemovedCandidateReassignsOnlyItsOwnKeys(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e"}
	id := func(s string) string { return s }
	for i := range 200 {
		key := string(rune('A' + i))
		with, without := fleet.Rank(key, all, id)[0], fleet.Rank(key, all[:4], id)[0]
		if with != "e" {
			require.Equal(t, with, without)
		}
	}
}

// TestOrderIsThatOfEarlierBuilds guards against owners on which hosts of two builds disagree.
func TestOrderIsThatOfEarlierBuilds(t *testing.T) {
	id := func(s string) string { return s }
	for n := range 40 {
		var candidates []string
		for i := range n {
			candidates = append(candidates, fmt.Sprint("host-", i*7919, strings.Repeat("x", i)))
		}
		for i := range 20 {
			key := fmt.Sprint("key-", i)
			expected := slices.Clone(candidates)
			slices.SortFunc(expected, func(a, b string) int {
				return cmp.Compare(xxh3.HashString(key+"\x00"+b), xxh3.HashString(key+"\x00"+a))
			})
			require.Equal(t, append([]string{}, expected...), fleet.Rank(key, candidates, id))
			for p, c := range expected {
				require.Equal(t, p, fleet.Position(key, candidates, id, c))
			}
			require.Equal(t, -1, fleet.Position(key, candidates, id, "another"))
			accept := func(c string) bool { return len(c)%3 == i%3 }
			first, ok := fleet.First(key, candidates, id, accept)
			at := slices.IndexFunc(expected, accept)
			require.Equal(t, at >= 0, ok)
			if ok {
				require.Equal(t, expected[at], first)
			}
		}
	}
}
