package fleet_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

func TestLagCountsFromTheFirstMissingVersion(t *testing.T) {
	var l fleet.Lag
	l.Adopt(start, 3, 0)
	latest, _ := l.Behind(start)
	require.Zero(t, latest)
	require.False(t, l.Learn(start, 3, 0, "a"))
	require.True(t, l.Learn(start, 6, 200, "a"))
	require.True(t, l.Learn(start.Add(500), 9, 100, "b"))
	require.True(t, l.Learn(start.Add(500), 9, 100, "c"))
	require.True(t, l.Learn(start.Add(500), 6, 900, "a"))
	latest, age := l.Behind(start.Add(1000))
	require.Equal(t, int64(9), latest)
	require.Equal(t, cicadapitch.Millis(1400), age)
	require.Equal(t, []string{"b", "c"}, l.Holders())
	l.Drop("b")
	require.Equal(t, []string{"c"}, l.Holders())

	l.Adopt(start.Add(1000), 6, 0)
	latest, age = l.Behind(start.Add(1000))
	require.Equal(t, int64(9), latest)
	require.Equal(t, cicadapitch.Millis(600), age)
	require.Equal(t, cicadapitch.Millis(1400), l.Age(start.Add(1000)))

	l.Adopt(start.Add(1100), 9, 50)
	latest, _ = l.Behind(start.Add(1100))
	require.Zero(t, latest)
	require.Empty(t, l.Holders())
	require.Equal(t, cicadapitch.Millis(700), l.Age(start.Add(1100)))
	require.False(t, l.Learn(start.Add(1200), 6, 0, "a"))
}

// TestLagWithoutAConfiguration covers a host that has none yet.
func TestLagWithoutAConfiguration(t *testing.T) {
	var l fleet.Lag
	require.True(t, l.Learn(start, 6, 0, "a"))
	l.Adopt(start, 9, 0)
	latest, _ := l.Behind(start)
	require.Zero(t, latest)
}
