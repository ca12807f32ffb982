package fronthost_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// spoiltEvents are events that cannot follow the event 2 of a stream.
var spoiltEvents = map[string]string{
	"empty id":       "id: \ndata: part 3\n\n",
	"no id":          "data: part 3\n\n",
	"no fields":      "\x00\xff{broken\n\n",
	"id again":       "id: 2\ndata: part 2\n\n",
	"id of before":   "id: 1\ndata: part 1\n\n",
	"id is no count": "id: x3\ndata: part 3\n\n",
}

// TestSpoiltEventIsNotPassedOn guards against events that do not go on with their stream: the caller would
// get them, and the next engine would begin the stream anew in the same answer.
func TestSpoiltEventIsNotPassedOn(t *testing.T) {
	d := newDeployment(t, 1)
	for name, event := range spoiltEvents {
		for _, ends := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/ends=%t", name, ends), func(t *testing.T) {
				time.Sleep(2 * coldRatePause)
				d.answerFirstRuns(func(w http.ResponseWriter, _ *http.Request) {
					w.Header().Set("Content-Type", "text/event-stream")
					platformtest.WriteEvent(w, 1)
					platformtest.WriteEvent(w, 2)
					io.WriteString(w, event)
					if !ends {
						platformtest.BreakOff(w)
					}
				})
				var want string
				for i := range 6 {
					want += fmt.Sprintf("id: %d\nevent: v1\ndata: part %d\n\n", i+1, i+1)
				}
				require.Equal(t, want, readBody(t, d.send(d.newStreamRequest(0, "/answer/a", newID(), "0,0"))))

				// A stream that no other engine may go on with is cut off.
				r := d.send(d.newStreamRequest(0, "/plan/a", newID(), ""))
				b, err := io.ReadAll(r.Body)
				r.Body.Close()
				require.Error(t, err)
				require.Equal(t, 2, strings.Count(string(b), "data: part"), string(b))
			})
		}
	}
}
