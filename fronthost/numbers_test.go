package fronthost_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAbsurdPieceCountEndsNoHost guards against a number in a caller's header that ends the process and all
// requests that it serves.
func TestAbsurdPieceCountEndsNoHost(t *testing.T) {
	d := newDeployment(t, 2)
	for _, pieces := range []string{"4611686018427387904", "9999999999999999999", "4096", "-1"} {
		resp, err := d.trySend(d.newStreamRequest(0, "/answer/a", newID(), pieces))
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		require.NoError(t, err)
		resp.Body.Close()
		want := http.StatusBadRequest
		if pieces == "4096" {
			want = http.StatusServiceUnavailable // it cannot be made in time
		}
		require.Equal(t, want, resp.StatusCode, pieces)
	}
	resp, err := d.trySend(d.newStreamRequest(0, "/answer/a", newID(), "1"))
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
}
