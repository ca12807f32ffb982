package gateway_test

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/gateway"
)

// TestStageCallsOutOfRangeAreRejected guards against numbers of another host, of another build perhaps, that
// overflow or take memory before any work arrives.
func TestStageCallsOutOfRangeAreRejected(t *testing.T) {
	valid := gateway.StageCall{Pieces: 3, ResultBytes: 1000, DueIn: -20, ExpireIn: 900}
	require.NoError(t, gateway.CheckStageCall(valid))
	for name, change := range map[string]func(*gateway.StageCall){
		"Pieces":      func(c *gateway.StageCall) { c.Pieces = math.MaxInt64 / 2 },
		"Pieces ":     func(c *gateway.StageCall) { c.Pieces = 0 },
		"Stage":       func(c *gateway.StageCall) { c.Stage = -1 },
		"ResultBytes": func(c *gateway.StageCall) { c.ResultBytes = math.MaxInt64 },
		"MoveBytes":   func(c *gateway.StageCall) { c.MoveBytes = -1 },
		"Customer":    func(c *gateway.StageCall) { c.Customer = cicadapitch.CustomerID(strings.Repeat("c", 70_000)) },
		"DueIn":       func(c *gateway.StageCall) { c.DueIn = math.MinInt64 },
		"ExpireIn":    func(c *gateway.StageCall) { c.ExpireIn = math.MaxInt64 },
	} {
		c := valid
		change(&c)
		err := gateway.CheckStageCall(c)
		require.Equal(t, cicadapitch.Invalid, cicadapitch.KindOf(err), name)
	}
}
