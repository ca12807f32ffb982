package fronthost_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// oddHeads are the first lines of heads that are invalid.
var oddHeads = map[string]string{
	"status 000":           "HTTP/1.1 000 Trouble\r\n",
	"status 000, then 200": "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n",
	"blank in a name":      "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
	"control byte":         "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n",
	"blank after a name":   "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n",
	"folded line":          "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n\t2\r\n",
}

// rawAnswer returns an answer, a stream of one event where the path is that of streams, whose head begins with first.
func rawAnswer(path, first string) func(id string) string {
	if isStreamPath(path) {
		first += "Content-Type: text/event-stream\r\n"
	}
	return platformtest.AnswerWithHead(first, earlyBodies[path])
}

// TestAnswerWithAnInvalidHeadIsNotPassedOn guards against callers who get an answer that was read from an invalid head.
// They are told that the request may have run.
func TestAnswerWithAnInvalidHeadIsNotPassedOn(t *testing.T) {
	for path := range earlyBodies {
		t.Run(path, func(t *testing.T) {
			d := newDeployment(t, 1)
			for name, first := range oddHeads {
				for _, e := range d.endpoints {
					e.SetRawAnswer(rawAnswer(path, first))
				}
				time.Sleep(coldRatePause)
				req := d.requestTo(path)
				r := d.send(req)
				body, err := io.ReadAll(r.Body)
				r.Body.Close()
				assert.NoError(t, err, name)
				assert.Equal(t, http.StatusBadGateway, r.StatusCode, "%s: %q %q", name, r.Header, body)
				assert.False(t, platformtest.HasSignature(r), name)
				if path == "/book/a" || path == "/plan/a" {
					assert.Equal(t, 1, d.runCount(req.ID), name)
				}
			}
		})
	}
}

// TestSoundEndpointReplacesOneWithInvalidHeads covers requests that may be repeated, of which some come to an endpoint
// in trouble first.
func TestSoundEndpointReplacesOneWithInvalidHeads(t *testing.T) {
	for path, broken := range map[string]string{"/look/a": "p1", "/answer/a": "e1"} {
		t.Run(path, func(t *testing.T) {
			d := newDeployment(t, 1)
			d.endpoints[broken].SetRawAnswer(rawAnswer(path, oddHeads["blank in a name"]))
			tried := 0
			for range 12 {
				req := d.requestTo(path)
				r := d.send(req)
				require.Equal(t, http.StatusOK, r.StatusCode)
				body := readBody(t, r)
				if path == "/look/a" {
					require.Equal(t, "POST /look/a club body", body)
				} else {
					require.Equal(t, 6, strings.Count(body, "data: part"))
				}
				tried += d.endpoints[broken].RunCounts()[req.ID]
				time.Sleep(coldRatePause)
			}
			require.Positive(t, tried)
		})
	}
}
