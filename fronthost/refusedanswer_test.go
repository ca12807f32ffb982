package fronthost_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// TestRefusedAnswersAreLoggedAndCounted requires a line with the request and the reason, and a count, for each answer
// that an operator would look for.
func TestRefusedAnswersAreLoggedAndCounted(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		spoil  func(d *deployment)
		fault  string
		reason string
		// ofStage is true if the answer is that to a stage call, which has no id.
		ofStage bool
	}{
		"head": {"/book/a", func(d *deployment) {
			d.setRawAnswers("plain", rawAnswer("/book/a", oddHeads["blank in a name"]))
		}, "InvalidHead", "the name of a field holds 0x20", false},
		"end": {"/book/a", func(d *deployment) {
			d.setEarlyAnswers("/book/a", platformtest.EarlyAnswer{Rest: platformtest.CloseRest})
		}, "RequestNotWritten", "the request was not written whole", false},
		"stream": {"/plan/a", func(d *deployment) {
			d.setEarlyAnswers("/plan/a", platformtest.EarlyAnswer{Rest: platformtest.CloseRest})
		}, "RequestNotWritten", "the request was not written whole", false},
		"stage call": {"/answer/a", func(d *deployment) {
			d.setRawAnswers("stage", rawAnswer("/book/a", oddHeads["blank after a name"]))
		}, "InvalidHead", "the name of a field holds 0x20", true},
	} {
		t.Run(name, func(t *testing.T) {
			var log lockedBuffer
			d := newDeployment(t, 1, withUploads, func(d *deployment) { d.log = &log })
			c.spoil(d)
			req := d.requestTo(c.path)
			if c.ofStage {
				req.Pieces = "1,1"
			}
			req.Body = strings.NewReader(strings.Repeat("x", uploadBytes))
			r := d.send(req)
			_, err := io.ReadAll(r.Body)
			r.Body.Close()
			require.True(t, err != nil || r.StatusCode != http.StatusOK)
			var line string
			require.Eventually(t, func() bool {
				for l := range strings.Lines(log.String()) {
					if strings.Contains(l, `"message":"answer refused"`) {
						line = l
					}
				}
				return line != "" && d.metric(`AnswersRefused{Fault="`+c.fault+`"`) >= 1
			}, 3*time.Second, 20*time.Millisecond)
			require.Contains(t, line, c.fault)
			require.Contains(t, line, c.reason)
			if !c.ofStage {
				require.Contains(t, line, req.ID)
				require.EqualValues(t, 1, d.metric("AnswersRefused"))
			}
		})
	}
}

// setRawAnswers makes the endpoints of a service answer with bytes of f.
func (d *deployment) setRawAnswers(service string, f func(id string) string) {
	for _, e := range d.endpoints {
		if e.Service == service {
			e.SetRawAnswer(f)
		}
	}
}
