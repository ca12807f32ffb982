package driver_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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

// TestAnswerCutAnywhereIsNotComplete cuts answers that end with their connection. Each
// has an end of its own: the last event of a stream, the last brace of a service's JSON.
func TestAnswerCutAnywhereIsNotComplete(t *testing.T) {
	for path, answer := range map[string]string{
		"/v1/completions": "data: {\"choices\":[{\"text\":\"x\"}]}\n\ndata: [DONE]",
		"/call":           `{"Output":"x","Tokens":1}`,
	} {
		for n := range len(answer) + 1 {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				assert.Equal(t, path, r.URL.Path)
				c, _, err := http.NewResponseController(w).Hijack()
				assert.NoError(t, err)
				_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n", answer[:n]) // the caller checks what arrives
				_ = c.Close()
			}))
			var d cicadapitch.Driver = driver.NewEngine()
			if path == "/call" {
				d = driver.NewService()
			}
			_, err := d.Call(context.Background(), cicadapitch.Call{Endpoint: cicadapitch.Endpoint{Address: s.URL}}, nil)
			s.Close()
			require.Equal(t, n == len(answer), err == nil, "%q", answer[:n])
		}
	}
}
