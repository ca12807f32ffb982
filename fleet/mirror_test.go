package fleet_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

const start cicadapitch.Instant = 1_000_000

func record(key string, revision cicadapitch.StoreRevision) fleet.Record {
	return fleet.Record{Key: key, Value: []byte(key), Revision: revision}
}

func TestMirrorIgnoresOlderRevisions(t *testing.T) {
	m := fleet.NewMirror()
	require.Len(t, m.Apply(start, []fleet.Record{record("a", 5)}, 5), 1)
	require.Empty(t, m.Apply(start, []fleet.Record{record("a", 4)}, 4))
	require.Equal(t, cicadapitch.StoreRevision(5), m.Revision())
	require.Len(t, m.Apply(start, []fleet.Record{{Key: "a", Revision: 6, Removed: true}}, 6), 1)
	require.Empty(t, m.Apply(start, []fleet.Record{record("a", 5)}, 7), "a removed key comes back only with a later revision")
}

func TestReplaceRemovesUnlistedKeysUnlessNewer(t *testing.T) {
	m := fleet.NewMirror()
	m.Apply(start, []fleet.Record{record("own/a", 3), record("own/b", 9), record("x", 1)}, 9)
	changed := m.Replace(start, "own/", []fleet.Record{record("own/c", 4)}, 6)
	require.ElementsMatch(t, []fleet.Change{
		{Record: record("own/c", 4)},
		{Record: fleet.Record{Key: "own/a", Revision: 6, Removed: true}, Before: record("own/a", 3)},
	}, changed)
}

// TestMirrorsAgreeInAnyOrder guards against a result that depends on the order in
// which changes arrive.
func TestMirrorsAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []fleet.Record
		for i := cicadapitch.StoreRevision(1); i <= 20; i++ {
			r := record(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), i)
			if r.Removed = rapid.Bool().Draw(t, "removed"); r.Removed {
				r.Value = nil
			}
			all = append(all, r)
		}
		inOrder, shuffled := fleet.NewMirror(), fleet.NewMirror()
		inOrder.Apply(start, all, 20)
		for _, r := range rapid.Permutation(all).Draw(t, "order") {
			shuffled.Apply(start, []fleet.Record{r}, r.Revision)
		}
		require.ElementsMatch(t, inOrder.ChangesSince(0), shuffled.ChangesSince(0))
	})
}

// TestMirrorDoesNotAnswerForAPastThatItDoesNotKnow covers answers for revisions from before a
// listing, from within what a later listing skipped, and from before forgotten removals.
func TestMirrorDoesNotAnswerForAPastThatItDoesNotKnow(t *testing.T) {
	m := fleet.NewMirror()
	m.Replace(start, "", []fleet.Record{record("a", 3), record("b", 9)}, 10)
	scopeSince := func(revision cicadapitch.StoreRevision) fleet.Scope {
		_, scope := m.Answer(revision, true)
		return scope
	}
	require.Equal(t, fleet.Listing, scopeSince(9))
	require.Equal(t, fleet.AllChanges, scopeSince(10))
	records, scope := m.Answer(9, false)
	require.Equal(t, fleet.Some, scope, "a host of an earlier build takes no listing")
	require.Empty(t, records)

	m.Apply(start, []fleet.Record{record("c", 12)}, 12)
	m.Replace(start, "", []fleet.Record{record("b", 9), record("c", 12)}, 20)
	require.Equal(t, fleet.AllChanges, scopeSince(11))
	require.Equal(t, fleet.Listing, scopeSince(15))
	require.Equal(t, fleet.AllChanges, scopeSince(20))

	m.Apply(start.Add(2*cicadapitch.Minute), nil, 30)
	require.Equal(t, fleet.Listing, scopeSince(12), "the removal of a is forgotten")
	require.Equal(t, fleet.AllChanges, scopeSince(20))
}

// TestChangesSinceAreThoseOfAllKeys covers more keys than a mirror remembers as stored last, that arrive out of
// order, and removals that are forgotten.
func TestChangesSinceAreThoseOfAllKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := fleet.NewMirror()
		all, removedAt := map[string]fleet.Record{}, map[string]cicadapitch.Instant{}
		next, now := cicadapitch.StoreRevision(0), start
		for range rapid.IntRange(1, 12).Draw(t, "batches") {
			now = now.Add(cicadapitch.Millis(rapid.IntRange(0, 30_000).Draw(t, "pause")))
			var batch []fleet.Record
			for range rapid.IntRange(0, 600).Draw(t, "changes") {
				next++
				key := fmt.Sprint("k", int(next)*7919%1500)
				batch = append(batch, fleet.Record{Key: key, Revision: next, Removed: next%5 == 0})
			}
			if rapid.Bool().Draw(t, "reversed") {
				slices.Reverse(batch)
			}
			m.Apply(now, batch, next)
			for _, r := range batch {
				if r.Revision > all[r.Key].Revision {
					all[r.Key], removedAt[r.Key] = r, now
				}
			}
			maps.DeleteFunc(all, func(key string, r fleet.Record) bool {
				return r.Removed && now.Sub(removedAt[key]) > cicadapitch.Minute
			})
			since := cicadapitch.StoreRevision(rapid.Int64Range(0, int64(next)).Draw(t, "since"))
			expected := lo.PickBy(all, func(_ string, r fleet.Record) bool { return r.Revision > since })
			byRevision := func(a, b fleet.Record) int { return cmp.Compare(a.Revision, b.Revision) }
			require.Equal(t, slices.SortedFunc(maps.Values(expected), byRevision), slices.SortedFunc(slices.Values(m.ChangesSince(since)), byRevision))
		}
	})
}

// BenchmarkChangesSince measures the answer to a host that lacks the last change of a large deployment.
func BenchmarkChangesSince(b *testing.B) {
	m := fleet.NewMirror()
	const keys = 3300
	for i := range cicadapitch.StoreRevision(keys) {
		m.Apply(start, []fleet.Record{record(fmt.Sprint("k", i), i+1)}, i+1)
	}
	for b.Loop() {
		m.ChangesSince(keys - 1)
	}
}
