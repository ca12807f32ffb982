package fronthost_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEndpointsThatAreSilentForASecondGoOn guards against streams that are sent to a second
// engine, at the cost of a retry and of a prompt that is read again, because a sound engine was
// silent for a little more than a second.
func TestEndpointsThatAreSilentForASecondGoOn(t *testing.T) {
	d := newDeployment(t, 1)
	for _, id := range []string{"e1", "e2"} {
		d.endpoints[id].SetStall(1200 * time.Millisecond)
	}
	for n := range 4 {
		id := newID()
		req := d.newStreamRequest(0, "/answer/a", id, "0,0")
		req.Session = fmt.Sprint(n)
		r := d.send(req)
		require.Equal(t, http.StatusOK, r.StatusCode)
		require.Equal(t, 6, strings.Count(readBody(t, r), "data: part"))
		require.Equal(t, 1, d.runCount(id))
	}
}
