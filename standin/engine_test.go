package standin_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
	"cicadapitch.example/cicadapitch/standin"
)

// post sends a JSON body to the engine and returns the response.
func post(e *standin.Engine, path string, body any) *httptest.ResponseRecorder {
	b, _ := json.Marshal(body)
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(b))))
	return w
}

// completionStatus requests a completion and returns the HTTP status.
func completionStatus(e *standin.Engine, prefix string) int {
	return post(e, "/v1/completions", map[string]any{"prompt": "x", "stream": true, "prompt_cache_key": prefix}).Code
}

// cachedPrefixes returns the prefixes that the load report shows as cached.
func cachedPrefixes(t *testing.T, e *standin.Engine) []string {
	t.Helper()
	w := httptest.NewRecorder()
	e.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/load", nil))
	var r cicadapitch.LoadReport
	require.NoError(t, json.NewDecoder(w.Body).Decode(&r))
	return r.CachedPrefixes
}

func TestPrefixCacheEvictsAndReportsAfterLag(t *testing.T) {
	clock := cicadapitch.NewManualClock(1000)
	e := standin.NewEngine(clock, standin.WithPrefixCache(2, 500, 0, 1))
	for _, prefix := range []string{"a", "b", "a", "c"} {
		require.Equal(t, http.StatusOK, completionStatus(e, prefix))
	}
	require.Empty(t, cachedPrefixes(t, e))
	clock.Advance(500)
	require.Equal(t, []string{"a", "c"}, cachedPrefixes(t, e))
	e.MakeCold()
	clock.Advance(500)
	require.Empty(t, cachedPrefixes(t, e))
}

func TestPrefixCacheLosesEvents(t *testing.T) {
	e := standin.NewEngine(cicadapitch.NewManualClock(1000), standin.WithPrefixCache(100, 0, 0.3, 1))
	for n := range 100 {
		require.Equal(t, http.StatusOK, completionStatus(e, fmt.Sprint(n)))
	}
	require.InDelta(t, 70, len(cachedPrefixes(t, e)), 15)
}

func TestWeightStoreServesOneLoadAtATime(t *testing.T) {
	clock := cicadapitch.NewManualClock(1000)
	weights := standin.NewWeightStore(10 * cicadapitch.Second)
	var engines []*standin.Engine
	for range 3 {
		e := standin.NewEngine(clock, standin.WithWeightStore(weights))
		engines = append(engines, e)
		order := cicadapitch.EndpointOrder{Model: "m", Version: "2"}
		require.Equal(t, http.StatusOK, post(e, "/orders", order).Code)
		require.Equal(t, http.StatusOK, post(e, "/orders", order).Code)
	}
	n, waited := weights.Loads()
	require.Equal(t, 3, n)
	require.Equal(t, 20*cicadapitch.Second, waited)
	refused := post(engines[2], "/v1/completions", map[string]any{"prompt": "x", "stream": true})
	require.Equal(t, http.StatusServiceUnavailable, refused.Code)
	require.Equal(t, "true", refused.Header().Get(driver.HeaderNotRun))
	require.Equal(t, "30", refused.Header().Get("Retry-After"))
	require.Empty(t, engines[2].Runs())
	clock.Advance(10 * cicadapitch.Second)
	require.Equal(t, http.StatusOK, completionStatus(engines[0], ""))
	require.Equal(t, http.StatusServiceUnavailable, completionStatus(engines[1], ""))
	require.True(t, engines[0].Record().Cold)
}
