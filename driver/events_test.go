package driver_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
)

// TestCallEndsAfterTheEndpointsResponse checks that Call returns only after the
// endpoint has ended its response. Until then, the endpoint counts the call as
// running and its slot must not be reused.
func TestCallEndsAfterTheEndpointsResponse(t *testing.T) {
	var ended atomic.Bool
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, "data: {\"choices\":[{\"text\":\"x\"}]}\n\ndata: [DONE]\n\n")
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
		ended.Store(true)
	}))
	defer s.Close()
	call := cicadapitch.Call{Endpoint: cicadapitch.Endpoint{ID: "writer", Address: s.URL}, Timeout: 10 * cicadapitch.Second}
	r, err := driver.NewEngine().Call(context.Background(), call, nil)
	require.NoError(t, err)
	require.Equal(t, "x", r.Output)
	require.True(t, ended.Load())
}
