package gateway_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/gateway"
)

// TestEngineWorkEndsWithTheRequests guards against work that stays reported, and keeps requests away from an
// engine, after answers, refusals and answers that break off.
func TestEngineWorkEndsWithTheRequests(t *testing.T) {
	var log bytes.Buffer
	g, e := newCommitGateway(t, gateway.WithLog(zerolog.New(&log)))
	for n := range 5 {
		require.Equal(t, http.StatusOK, askPlan(t, g, fmt.Sprint("whole-", n), "a,b,own"))
	}
	require.Empty(t, g.EngineWork())
	sent := strings.Split(log.String(), "\n")[0]
	for _, field := range []string{"PredictedMs", "\"UncachedTokens\":", "WorkAgeMs"} {
		require.Contains(t, sent, field)
	}
	e.SetFull(true)
	require.Equal(t, http.StatusServiceUnavailable, askPlan(t, g, "refused", "a,b,own"))
	e.SetFull(false)
	require.Empty(t, g.EngineWork())
	e.SetDelay(400 * time.Millisecond)
	done := make(chan int)
	go func() { done <- askPlan(t, g, "slow", "a,b,own") }()
	require.Eventually(t, func() bool { return len(g.EngineWork()) == 1 }, 2*time.Second, 5*time.Millisecond)
	require.Equal(t, g.Loads()["e1"], 1)
	require.Equal(t, http.StatusOK, <-done)
	e.SetDelay(0)
	e.Close()
	require.NotEqual(t, http.StatusOK, askPlan(t, g, "lost", "a,b,own"))
	require.Empty(t, g.EngineWork())
	require.Empty(t, g.Loads())
}
