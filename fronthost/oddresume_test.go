package fronthost_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// TestStreamThatGoesOnWithSomethingElseIsCutOff breaks a stream off after two events and lets the
// next endpoint answer with something that is not the rest of it. The caller gets the two events and
// a broken answer, nothing of the other answer.
func TestStreamThatGoesOnWithSomethingElseIsCutOff(t *testing.T) {
	d := newDeployment(t, 1)
	for _, odd := range platformtest.OddResumeValues() {
		t.Run(odd.String(), func(t *testing.T) {
			for _, e := range []string{"e1", "e2"} {
				d.endpoints[e].AbortStreamsAfter(2)
				d.endpoints[e].SetOddResume(odd)
			}
			id := newID()
			go func() {
				for d.runCount(id) < 1 {
					time.Sleep(time.Millisecond)
				}
				for _, e := range []string{"e1", "e2"} {
					d.endpoints[e].AbortStreamsAfter(0)
				}
			}()
			r := d.send(d.newStreamRequest(0, "/answer/a", id, "0,0"))
			b, err := io.ReadAll(r.Body)
			r.Body.Close()
			if odd == platformtest.Sound {
				require.NoError(t, err)
				require.Equal(t, 6, strings.Count(string(b), "data: part"))
				return
			}
			require.Error(t, err)
			require.Equal(t, 2, strings.Count(string(b), "data: part"), string(b))
			require.NotContains(t, string(b), "error")
		})
	}
}

// TestStreamThatIsTakenUpGetsOnlyItsRest covers callers who take a stream up again: an answer that
// is no stream, or has an event that they have, is not passed on as a success.
func TestStreamThatIsTakenUpGetsOnlyItsRest(t *testing.T) {
	d := newDeployment(t, 1)
	for _, odd := range []platformtest.OddResume{platformtest.JSONError, platformtest.HTMLPage, platformtest.PageAsEvents, platformtest.PartialContent, platformtest.EventAgain} {
		t.Run(odd.String(), func(t *testing.T) {
			// Without a pause the engines would refuse for their rate.
			time.Sleep(2 * coldRatePause)
			first := newID()
			readBody(t, d.send(d.newStreamRequest(0, "/answer/a", first, "0,0")))
			for _, e := range []string{"e1", "e2"} {
				d.endpoints[e].SetOddResume(odd)
			}
			req := d.newStreamRequest(0, "/answer/a", newID(), "0,0")
			req.ResumeAfter, req.Resumes = "2", first
			r := d.send(req)
			r.Body.Close()
			require.Equal(t, 502, r.StatusCode)
			for _, e := range []string{"e1", "e2"} {
				d.endpoints[e].SetOddResume(platformtest.Sound)
			}
		})
	}
}

// TestAnswerThatIsNoStreamIsPassedOnWhole covers the first answer to a request of a resumable
// route.
func TestAnswerThatIsNoStreamIsPassedOnWhole(t *testing.T) {
	d := newDeployment(t, 1)
	for _, e := range []string{"e1", "e2"} {
		d.endpoints[e].SetNoStream(`{"error":"broken"}`)
	}
	r := d.send(d.newStreamRequest(0, "/answer/a", newID(), "0,0"))
	require.Equal(t, `{"error":"broken"}`, readBody(t, r))
}
