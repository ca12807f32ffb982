package standin_test

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
	"cicadapitch.example/cicadapitch/standin"
)

// TestDriverWaitsForSilentEndpoints guards against calls and load reports that are given up because
// a sound endpoint is silent for a while.
func TestDriverWaitsForSilentEndpoints(t *testing.T) {
	const silent = 900
	clock := cicadapitch.NewSystemClock()
	engine, service := standin.NewEngine(clock, standin.WithTokenTime(20, 0)), standin.NewService(clock)
	engineServer, serviceServer := httptest.NewServer(engine), httptest.NewServer(service)
	defer engineServer.Close()
	defer serviceServer.Close()
	call := cicadapitch.Call{
		Attempt:  cicadapitch.AttemptID{Request: "r", Number: 1},
		Endpoint: cicadapitch.Endpoint{ID: "e", Address: engineServer.URL}, Input: "a prompt", MaxTokens: 12,
	}
	start, parts := time.Now(), 0
	r, err := driver.NewEngine().Call(t.Context(), call, func(string) {
		if parts++; parts == 4 {
			engine.FallSilent(silent)
		}
	})
	require.NoError(t, err)
	require.Equal(t, standin.Completion("a prompt", 12), r.Output)
	require.GreaterOrEqual(t, time.Since(start), silent*time.Millisecond)

	engine.FallSilent(silent)
	_, err = driver.NewEngine().Load(t.Context(), call.Endpoint)
	require.NoError(t, err)

	service.FallSilent(silent)
	call.Endpoint.Address = serviceServer.URL
	r, err = driver.NewService().Call(t.Context(), call, nil)
	require.NoError(t, err)
	require.NotEmpty(t, r.Output)
}
