package fronthost_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// uploadBytes is the length of a request that is still being written when an endpoint answers early.
const uploadBytes = 3 << 20

// withUploads lets callers send long bodies.
func withUploads(d *deployment) {
	d.editConfiguration = func(c []byte) []byte {
		return bytes.ReplaceAll(c, []byte(`"max_body_bytes":10000`), fmt.Appendf(nil, `"max_body_bytes":%d`, 2*uploadBytes))
	}
}

// sendUpload sends a long request to host 0 and returns its id, the status of the answer and its body. The error is
// that of reading the body.
func (d *deployment) sendUpload(path string) (id string, status int, body string, err error) {
	req := d.requestTo(path)
	req.Body = strings.NewReader(strings.Repeat("x", uploadBytes))
	r := d.send(req)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return req.ID, r.StatusCode, string(b), err
}

// earlyBodies are the bodies of early answers by path: events where the route is one of streams.
var earlyBodies = map[string]string{
	"/look/a":   "part",
	"/book/a":   "part",
	"/answer/a": "id: 1\nevent: v1\ndata: part 1\n\n",
	"/plan/a":   "id: 1\nevent: v1\ndata: part 1\n\n",
}

// isStreamPath reports whether the route of a path is one of streams.
func isStreamPath(path string) bool { return strings.HasPrefix(earlyBodies[path], "id:") }

// requestTo returns a request to host 0 of the kind that a path stands for.
func (d *deployment) requestTo(path string) platformtest.CallerRequest {
	if isStreamPath(path) {
		return d.newStreamRequest(0, path, newID(), "0,0")
	}
	return d.newRequest(0, "POST", path, newID())
}

// setEarlyAnswers makes all endpoints answer requests on a path early.
func (d *deployment) setEarlyAnswers(path string, a platformtest.EarlyAnswer) {
	a.Body = earlyBodies[path]
	if isStreamPath(path) {
		a.Header = http.Header{"Content-Type": {"text/event-stream"}}
	}
	for _, e := range d.endpoints {
		e.SetEarlyAnswer(&a)
	}
}

// TestAnswerThatIsResetDuringAnUploadIsNotPassedOnAsWhole guards against callers who get the first part of an answer
// without length or chunks as a whole one, since the endpoint resets the connection while the request is written.
func TestAnswerThatIsResetDuringAnUploadIsNotPassedOnAsWhole(t *testing.T) {
	for path := range earlyBodies {
		for _, rest := range []platformtest.Rest{platformtest.ResetRest, platformtest.CloseRest} {
			t.Run(path+" "+rest.String(), func(t *testing.T) {
				d := newDeployment(t, 1, withUploads)
				whole := 0
				for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
					d.setEarlyAnswers(path, platformtest.EarlyAnswer{Delay: delay, Rest: rest})
					for range 6 {
						id, status, body, err := d.sendUpload(path)
						if status == http.StatusOK && err == nil {
							whole++
							t.Logf("%s got %q as a whole answer", id, body)
						}
						if path == "/book/a" || path == "/plan/a" {
							assert.LessOrEqual(t, d.runCount(id), 1)
						}
						time.Sleep(coldRatePause)
					}
				}
				require.Zero(t, whole, "of 12 answers")
			})
		}
	}
}

// TestSoundEarlyAnswersArrive covers endpoints that answer uploads early and read them to their end.
func TestSoundEarlyAnswersArrive(t *testing.T) {
	for path := range earlyBodies {
		t.Run(path, func(t *testing.T) {
			d := newDeployment(t, 1, withUploads)
			for _, a := range []platformtest.EarlyAnswer{
				{Rest: platformtest.ReadRest},
				{Delay: 20 * time.Millisecond, Rest: platformtest.EndAndReadRest},
				{Read: -1, Rest: platformtest.ReadRest},
			} {
				d.setEarlyAnswers(path, a)
				for range 3 {
					_, status, body, err := d.sendUpload(path)
					require.NoError(t, err)
					require.Equal(t, http.StatusOK, status)
					require.Equal(t, earlyBodies[path], body)
					time.Sleep(coldRatePause)
				}
			}
		})
	}
}
