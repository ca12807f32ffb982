package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/gateway"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// statusWithLag returns the answer to a request for a path and key at a host whose configuration
// has a given lag.
func statusWithLag(t *testing.T, lag fleet.CatalogLag, path, key string) *http.Response {
	c, err := platform.DecodeCatalog(platformtest.Config(1, "", 14))
	require.NoError(t, err)
	state := fleet.NewState()
	state.SetCatalog(c)
	m := &lockedMembership{view: state.View(), lag: lag}
	g := gateway.New(&platform.Settings{Host: "h", Zone: "z"}, m)
	req, err := platformtest.CallerRequest{ID: "id", Method: http.MethodGet, Address: "127.0.0.1:1", Path: path, Host: "h.example", Key: key, Deadline: 300}.HTTPRequest()
	require.NoError(t, err)
	w := httptest.NewRecorder()
	req.RequestURI = path
	platform.NewIngress(g, cicadapitch.NewSystemClock()).ServeHTTP(w, req)
	return w.Result()
}

// TestHostThatIsBehindDoesNotAnswerForALaterConfiguration guards against 404 and 401 for
// routes and keys that a configuration allows which the host does not have yet.
func TestHostThatIsBehindDoesNotAnswerForALaterConfiguration(t *testing.T) {
	current, behind := fleet.CatalogLag{}, fleet.CatalogLag{Version: 1, Latest: 4, Age: 200}
	stale := fleet.CatalogLag{Version: 1, Latest: 4, Age: 1600, Stale: true}
	for _, c := range []struct {
		lag       fleet.CatalogLag
		path, key string
		want      int
	}{
		{current, "/added/x", "key-1", http.StatusNotFound},
		{behind, "/added/x", "key-1", http.StatusServiceUnavailable},
		{current, "/look/x", "key-2", http.StatusUnauthorized},
		{behind, "/look/x", "key-2", http.StatusServiceUnavailable},
		{stale, "/look/x", "key-1", http.StatusServiceUnavailable},
	} {
		resp := statusWithLag(t, c.lag, c.path, c.key)
		require.Equal(t, c.want, resp.StatusCode, c)
		require.Equal(t, c.want == http.StatusServiceUnavailable, resp.Header.Get("Retry-After") != "", c)
	}
}
