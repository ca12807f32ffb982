package quarantine_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/quarantine"
)

func TestRequestKeysTellRequestsApart(t *testing.T) {
	keys := map[string]bool{}
	for _, c := range [][]string{
		{"GET", "/a", "caller", ""},
		{"POST", "/a", "caller", ""},
		{"GET", "/a", "other", ""},
		{"GET", "/b", "caller", ""},
		{"GET", "/a", "caller", "x"},
		{"GET", "/ac", "aller", ""},
	} {
		key := quarantine.RequestKey([]byte(c[3]), c[0], c[1], c[2])
		require.Equal(t, key, quarantine.RequestKey([]byte(c[3]), c[0], c[1], c[2]))
		require.LessOrEqual(t, len(key), 64)
		keys[key] = true
	}
	require.Len(t, keys, 6)
}

// TestCallersCannotNameThePartsOfPromptsLikeRequests guards against a part that would
// quarantine a request of somebody else.
func TestCallersCannotNameThePartsOfPromptsLikeRequests(t *testing.T) {
	key := quarantine.RequestKey(nil, "GET")
	require.NotEqual(t, key, quarantine.Key(key))
	require.Equal(t, "part", quarantine.Key("part"))
	require.LessOrEqual(t, len(quarantine.Key(strings.Repeat("x", 1000))), 64)
}
