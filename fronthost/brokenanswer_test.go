package fronthost_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// answerFirstRuns makes answer serve the first run of each request at the engines. Later runs are sound.
func (d *deployment) answerFirstRuns(answer func(w http.ResponseWriter, r *http.Request)) {
	var mu sync.Mutex
	seen := map[string]bool{}
	for _, e := range []string{"e1", "e2"} {
		d.endpoints[e].SetAnswer(func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("Cicadapitch-Request-Id")
			mu.Lock()
			again := seen[id]
			seen[id] = true
			mu.Unlock()
			if !again {
				answer(w, r)
			}
			return !again
		})
	}
}

// TestErrorAnswerThatBreaksOffIsNotFollowedByAStream guards against two endpoints' answers in one.
func TestErrorAnswerThatBreaksOffIsNotFollowedByAStream(t *testing.T) {
	d := newDeployment(t, 1)
	for _, status := range []int{http.StatusInternalServerError, http.StatusBadRequest, http.StatusOK} {
		for _, framing := range []string{"chunks", "length"} {
			for _, sent := range []int{0, 20, 600 << 10} {
				t.Run(fmt.Sprintf("%d/%s/%d", status, framing, sent), func(t *testing.T) {
					time.Sleep(coldRatePause)
					d.answerFirstRuns(func(w http.ResponseWriter, _ *http.Request) {
						w.Header().Set("Content-Type", "application/json")
						if framing == "length" {
							w.Header().Set("Content-Length", strconv.Itoa(sent+1))
						}
						w.WriteHeader(status)
						io.WriteString(w, strings.Repeat("x", sent))
						platformtest.BreakOff(w)
					})
					r := d.send(d.newStreamRequest(0, "/answer/a", newID(), "0,0"))
					b, err := io.ReadAll(r.Body)
					r.Body.Close()
					if sent < 600<<10 {
						// Nothing was passed on yet, so that another engine can serve the caller.
						require.NoError(t, err)
						require.Equal(t, http.StatusOK, r.StatusCode)
						require.Equal(t, 6, strings.Count(string(b), "data: part"))
						require.NotContains(t, string(b), "x")
						return
					}
					require.Error(t, err)
					require.Equal(t, status, r.StatusCode)
					require.NotContains(t, string(b), "data:")
				})
			}
		}
	}
}
