package fronthost_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// resetAnswer is what a caller gets whose request's connection to an endpoint was reset.
type resetAnswer struct {
	id, body string
	status   int
	signed   bool
	err      error
}

// askReset sends a request of a kind to host 0 and resets its connection to the endpoint over a path.
func (c *cutDeployment) askReset(kind string, p *platformtest.Path, reset platformtest.Reset) resetAnswer {
	req := c.newRequest(0, "POST", "/"+kind+"/a", newID())
	if kind == "answer" || kind == "plan" {
		req = c.newStreamRequest(0, "/"+kind+"/a", newID(), "0,0")
	}
	p.ResetNext(reset)
	r := c.send(req)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return resetAnswer{req.ID, string(b), r.StatusCode, platformtest.Signed(r, req.ID), err}
}

// events returns the number of whole events of a stream, and whether they are its first ones.
func events(body string) (n int, inOrder bool) {
	whole := strings.Split(body, "\n\n")
	for i, e := range whole[:len(whole)-1] {
		if !strings.HasSuffix(e, fmt.Sprintf("data: part %d", i+1)) {
			return i, false
		}
	}
	return len(whole) - 1, true
}

// TestResetOfAConnectionToAnEndpoint resets the connection of each call at every byte of the request and of
// its answer, directly at host 0 or behind the host that relays for it. A booking runs once at most, and not
// at all if it was refused. Every answer is whole or an error, and a stream repeats and skips nothing.
func TestResetOfAConnectionToAnEndpoint(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		for _, kind := range []string{"book", "look", "answer", "plan"} {
			t.Run(fmt.Sprintf("%s, relayed %t", kind, relayed), func(t *testing.T) {
				t.Parallel()
				c := newCutDeployment(t, 2)
				c.store.Set(platformtest.ConfigKey, platformtest.Config(c.version+1, "", 1000))
				path := c.paths[0]
				if relayed {
					path.Cut(platformtest.CutReset)
					path = c.paths[1]
				}
				time.Sleep(time.Second)
				var refused []string
				statuses := map[int]int{}
				for _, ofAnswer := range []bool{false, true} {
					for after := 0; ; after++ {
						reset := platformtest.Reset{After: after, Answer: ofAnswer}
						a := c.askReset(kind, path, reset)
						what := fmt.Sprintf("%+v: %d %q", reset, a.status, a.body)
						statuses[a.status]++
						n, inOrder := events(a.body)
						switch {
						case a.status != http.StatusOK:
							assert.NoError(t, a.err, what)
							if a.status == http.StatusServiceUnavailable {
								refused = append(refused, a.id)
							}
						case kind == "book" || kind == "look":
							assert.NoError(t, a.err, what)
							assert.True(t, a.signed && a.body == "POST /"+kind+"/a club body", what)
						default:
							assert.True(t, inOrder, what)
							assert.True(t, a.err != nil || a.signed && n == 6, what)
						}
						if kind == "book" || kind == "plan" {
							assert.LessOrEqual(t, c.runCount(a.id), 1, what)
						}
						if path.Pending() || t.Failed() {
							break
						}
					}
				}
				t.Logf("requests by status: %v", statuses)
				for _, id := range refused {
					assert.Zero(t, c.runCount(id), "%s was refused", id)
				}
			})
		}
	}
}
