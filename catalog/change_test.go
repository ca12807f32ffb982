package catalog_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

// build returns a catalog with the routes, keys and services of the given numbers. The
// value of an entry is part of its contents.
func build(version int64, routes, keys, services map[int]int) *catalog.Catalog {
	b := catalog.NewBuilder(version, catalog.Limits{HeaderBytes: len(routes)})
	for i, v := range services {
		b.AddService(&catalog.Service{Name: catalog.ServiceID(fmt.Sprint("s", i)), MaxConnections: v, Engine: &catalog.EngineSpec{Slots: v}})
	}
	for i, v := range routes {
		b.AddRoute(&catalog.Route{
			Name: fmt.Sprint("r", i), Host: fmt.Sprint("h", i%3), Prefix: fmt.Sprintf("/p%d/", i), Timeout: cicadapitch.Millis(v),
			TrafficSplit: []catalog.WeightedService{{Service: "s0", Weight: 1}},
			Stages:       []catalog.Stage{{Service: "s1", After: []int{}}},
		})
	}
	for i, v := range keys {
		b.AddCustomer(&catalog.Customer{Name: cicadapitch.CustomerID(fmt.Sprint("c", v))}, fmt.Sprint("key", i))
	}
	return b.Catalog()
}

// requireEqual checks that two catalogs have the same contents.
func requireEqual(t require.TestingT, want, got *catalog.Catalog) {
	d := catalog.Diff(want, got)
	require.Zero(t, d.Entries(), "%+v", d)
	require.Equal(t, want.Limits, got.Limits)
	require.Equal(t, want.Version, got.Version)
	require.Equal(t, want.Routes(), got.Routes())
}

func TestChangesTurnOneCatalogIntoAnother(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.MapOfN(rapid.IntRange(0, 200), rapid.IntRange(0, 2), 0, 60)
		draw := func(version int64, label string) *catalog.Catalog {
			return build(version, entries.Draw(t, label+" routes"), entries.Draw(t, label+" keys"), entries.Draw(t, label+" services"))
		}
		c := draw(1, "first")
		for version := int64(2); version < 6; version++ {
			next := draw(version, "next")
			change := catalog.Diff(c, next)
			encoded, err := cbor.Marshal(change)
			require.NoError(t, err)
			var decoded catalog.Change
			require.NoError(t, cbor.Unmarshal(encoded, &decoded))
			applied, err := decoded.Apply(c)
			require.NoError(t, err)
			requireEqual(t, next, applied)
			_, err = decoded.Apply(next)
			require.ErrorContains(t, err, "another version")
			c = applied
		}
	})
}

// TestChangeSizeGrowsWithTheChange guards against changes that carry the whole catalog.
func TestChangeSizeGrowsWithTheChange(t *testing.T) {
	routes := map[int]int{}
	for i := range 4000 {
		routes[i] = 1
	}
	before := build(1, routes, routes, nil)
	routes[17], routes[4000] = 2, 1
	delete(routes, 18)
	change := catalog.Diff(before, build(2, routes, routes, nil))
	require.Len(t, change.SetRoutes, 2)
	require.Equal(t, []catalog.RouteKey{{Host: "h0", Prefix: "/p18/"}}, change.RemovedRoutes)
	require.Equal(t, 6, change.Entries())
}

func TestChangeForOtherContentsIsRejected(t *testing.T) {
	change := catalog.Diff(build(1, map[int]int{1: 1}, nil, nil), build(2, map[int]int{1: 1, 2: 1}, nil, nil))
	_, err := change.Apply(build(1, map[int]int{1: 2}, nil, nil))
	require.Equal(t, cicadapitch.Conflict, cicadapitch.KindOf(err))
	require.ErrorContains(t, err, "another configuration")
}

func TestTheWholeCatalogIsAChangeOfNone(t *testing.T) {
	c := build(3, map[int]int{1: 1, 2: 2}, map[int]int{1: 1}, map[int]int{1: 1})
	change := catalog.Diff(nil, c)
	got, err := change.Apply(nil)
	require.NoError(t, err)
	requireEqual(t, c, got)
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	b := catalog.NewBuilder(1, catalog.Limits{})
	for _, prefix := range []string{"/a/", "/a/b/c/", "/"} {
		b.AddRoute(&catalog.Route{Name: prefix, Host: "h", Prefix: prefix})
	}
	b.AddRoute(&catalog.Route{Name: "second", Host: "h", Prefix: "/a/"})
	c := b.Catalog()
	for path, want := range map[string]string{
		"/a/b/c/d": "/a/b/c/", "/a/b/c/": "/a/b/c/", "/a/b/c": "/a/", "/a/": "/a/", "/a": "/", "/": "/", "/x/a/": "/",
	} {
		require.Equal(t, want, c.Match("h", path).Name, path)
	}
	require.Nil(t, c.Match("other", "/a/"))
	require.Nil(t, c.Match("h", ""))
}

// TestChangeOfAnEarlierBuildOpensNoRoutes guards against hosts that take customers without keys for none,
// since changes of the build before do not tell them apart.
func TestChangeOfAnEarlierBuildOpensNoRoutes(t *testing.T) {
	withKey, withoutKey := build(1, nil, map[int]int{1: 1}, nil), build(2, nil, nil, nil)
	for name, c := range map[string]struct {
		before, after *catalog.Catalog
		rejected      bool
	}{
		"the last key is removed":       {withKey, withoutKey, true},
		"a whole catalog without keys":  {nil, withoutKey, true},
		"a whole catalog with keys":     {nil, withKey, false},
		"a key is added to none":        {withoutKey, build(3, nil, map[int]int{2: 2}, nil), false},
		"a key is replaced by another":  {withKey, build(2, nil, map[int]int{2: 2}, nil), false},
		"a catalog without keys before": {withoutKey, build(3, map[int]int{1: 1}, nil, nil), true},
	} {
		t.Run(name, func(t *testing.T) {
			change := catalog.Diff(c.before, c.after)
			change.KeysRequired = nil
			got, err := change.Apply(c.before)
			if c.rejected {
				require.Equal(t, cicadapitch.Conflict, cicadapitch.KindOf(err))
				return
			}
			require.NoError(t, err)
			require.True(t, got.KeysRequired)
		})
	}
}
