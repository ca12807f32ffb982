package fronthost_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStreamThatEndsInsideAnEventDoesNotLookComplete guards against taking the end of a
// connection for the end of the answer.
func TestStreamThatEndsInsideAnEventDoesNotLookComplete(t *testing.T) {
	d := newDeployment(t, 1)
	for _, e := range []string{"e1", "e2"} {
		d.endpoints[e].SetCloseDelimited(true)
	}
	d.abortStreams(2)
	for _, path := range []string{"/plan/a", "/answer/a"} {
		r := d.send(d.newStreamRequest(0, path, newID(), "0,0"))
		require.Equal(t, http.StatusOK, r.StatusCode)
		_, err := io.ReadAll(r.Body)
		r.Body.Close()
		require.Error(t, err, path)
	}
	d.abortStreams(0)
	for _, path := range []string{"/plan/a", "/answer/a"} {
		r := d.send(d.newStreamRequest(0, path, newID(), "0,0"))
		require.Equal(t, 6, strings.Count(readBody(t, r), "data: part"), path)
	}
}

// TestResumedStreamIsNotCutAtTheLengthOfItsFirstPart guards against a Content-Length
// that holds for the answer of the first endpoint only.
func TestResumedStreamIsNotCutAtTheLengthOfItsFirstPart(t *testing.T) {
	d := newDeployment(t, 1)
	for _, e := range []string{"e1", "e2"} {
		d.endpoints[e].AbortStreamsAfter(2)
		d.endpoints[e].SetStreamLength(100) // all events take 180 bytes
	}
	id := newID()
	go func() {
		for d.runCount(id) < 1 {
			time.Sleep(time.Millisecond)
		}
		for _, e := range []string{"e1", "e2"} {
			d.endpoints[e].AbortStreamsAfter(0)
			d.endpoints[e].SetStreamLength(0)
		}
	}()
	r := d.send(d.newStreamRequest(0, "/answer/a", id, "0,0"))
	require.Equal(t, 6, strings.Count(readBody(t, r), "data: part"))
}

// TestStreamCutForHTTP10CallerDoesNotLookComplete covers callers whose protocol has no
// chunks, so that only a reset tells them that an answer broke off.
func TestStreamCutForHTTP10CallerDoesNotLookComplete(t *testing.T) {
	d := newDeployment(t, 1)
	for _, abortAfter := range []int{2, 0} {
		d.abortStreams(abortAfter)
		c, err := net.Dial("tcp", d.hostSettings[0].CallerListen)
		require.NoError(t, err)
		r, err := d.newStreamRequest(0, "/plan/a", newID(), "").HTTPRequest()
		require.NoError(t, err)
		var text strings.Builder
		require.NoError(t, r.Write(&text))
		_, err = io.WriteString(c, strings.Replace(text.String(), "HTTP/1.1", "HTTP/1.0", 1))
		require.NoError(t, err)
		_, err = io.ReadAll(c)
		c.Close()
		require.Equal(t, abortAfter > 0, err != nil)
	}
}
