package bed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// sessions is the number of sessions that streams are of.
const sessions = 300

// StreamService is the service of streams.
const StreamService = "pitch-llm"

// StreamConfig returns a configuration with one route of streams. A cold replica bears coldPerS requests a second, or any
// number if that is 0.
func StreamConfig(resume bool, attempts, coldPerS int) []byte {
	return config(map[string]any{
		"name": "answer", "host": "club.example", "prefix": "/answer/", "kind": "streaming", "service": StreamService,
		"timeout_ms": 12000, "target_latency_ms": 1900, "target_gap_ms": 250, "priority": 0, "max_attempts": attempts,
		"session_affinity": true, "stream_resume": resume,
	}, map[string]any{
		"name": StreamService, "health_path": "/health", "max_connections": 270, "cold_start_s": 3, "cold_per_s": coldPerS,
		"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 473108},
	})
}

// LookupService is the service of lookups.
const LookupService = "booking"

// LookupConfig returns a configuration with one route of requests that may be repeated.
func LookupConfig() []byte {
	return config(map[string]any{
		"name": "lookup", "host": "club.example", "prefix": "/slots/", "kind": "safe", "service": LookupService,
		"timeout_ms": 2500, "target_latency_ms": 150, "priority": 0, "max_attempts": 2,
	}, map[string]any{"name": LookupService, "health_path": "/health", "max_connections": 48, "cold_start_s": 0, "cold_per_s": 0})
}

func config(route, service map[string]any) []byte {
	b, _ := json.Marshal(map[string]any{ // it can always be encoded
		"version": 3, "routes": []any{route}, "services": []any{service},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000, "idle_timeout_ms": 5000},
		"tenants": []any{map[string]any{"name": "club", "api_keys": []string{"key-of-club"}}},
	})
	return b
}

// WriteEvents writes the events of a stream from the number first to last, one each interval. It ends sooner if the
// channel is closed.
func WriteEvents(w http.ResponseWriter, req *http.Request, first, last int, interval time.Duration, data string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		select {
		case <-req.Context().Done():
			return
		case <-time.After(interval):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
		_ = http.NewResponseController(w).Flush() // a failed write ends the channel
	}
}

// NewStreamRequest returns a request for a stream of one of the sessions.
func NewStreamRequest() Request {
	return Request{
		ID: NewID(), Method: http.MethodPost, Host: "club.example", Path: "/answer/1", Key: "key-of-club", Body: "question",
		Deadline: 12 * time.Second,
		Header: map[string]string{
			"Cicadapitch-Model": "m", "Cicadapitch-Token-Counts": "1000,50",
			"Cicadapitch-Prompt-Prefix": fmt.Sprintf("5c1e07a2:400,91bd%04x:400,%s:200", rand.IntN(sessions), NewID()),
		},
	}
}

// NewLookup returns a lookup.
func NewLookup() Request {
	return Request{ID: NewID(), Method: http.MethodGet, Host: "club.example", Path: "/slots/1", Key: "key-of-club", Deadline: 2500 * time.Millisecond}
}
