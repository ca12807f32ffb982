package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

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
