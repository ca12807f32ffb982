package fronthost_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// cutCase is a request whose answers are cut.
type cutCase struct {
	path string
	// events is the number of events of a whole answer, or 0 if the answer is no stream.
	events int
}

var cutCases = []cutCase{{"/book/a", 0}, {"/look/a", 0}, {"/plan/a", 6}, {"/answer/a", 6}}

// whole reports whether a body is that of a whole answer.
func (c cutCase) whole(body string) bool {
	if c.events > 0 {
		return strings.Count(body, "data: part") == c.events && strings.HasSuffix(body, "data: part 6\n\n")
	}
	return body == "POST "+c.path+" club body"
}

// cutAnswer is what a caller got.
type cutAnswer struct {
	id, body string
	status   int
	signed   bool
	// err is that of reading the body.
	err error
}

// askCut sends a request with a cut to host 0 until an endpoint has run it.
func (d *deployment) askCut(c cutCase, cut platformtest.Cut, changes ...func(*platformtest.CallerRequest)) cutAnswer {
	for range 100 {
		req := d.newRequest(0, "POST", c.path, newID())
		if c.events > 0 {
			req = d.newStreamRequest(0, c.path, newID(), "0,0")
		}
		for _, change := range changes {
			change(&req)
		}
		r, err := d.trySend(req, cut.Ask)
		if err != nil {
			d.t.Error(err)
			break
		}
		b, err := io.ReadAll(r.Body)
		r.Body.Close()
		if d.runCount(req.ID) > 0 {
			return cutAnswer{req.ID, string(b), r.StatusCode, platformtest.Signed(r, req.ID), err}
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.t.Error("no endpoint runs the request")
	return cutAnswer{}
}

// forEachCut calls f, four at a time, for each number of bytes of the heads of the endpoints' answers to
// requests of a case.
func (d *deployment) forEachCut(c cutCase, f func(after int)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, 4)
	endpoints := []string{"p1", "p2"}
	if c.events > 0 {
		endpoints = []string{"e1", "e2"}
	}
	head := func() int { return max(d.endpoints[endpoints[0]].CutHead(), d.endpoints[endpoints[1]].CutHead()) }
	f(0)
	require.NotZero(d.t, head())
	for n := 1; n < head(); n++ {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(n)
		})
	}
	wg.Wait()
}

// checkCut reports an error if an answer that was cut looks like a whole one or a refusal.
func checkCut(t *testing.T, c cutCase, cut platformtest.Cut, a cutAnswer) {
	what := fmt.Sprintf("%s cut after %d bytes: %q", c.path, cut.After, a.body)
	if a.status != http.StatusOK {
		assert.NoError(t, a.err, what)
		assert.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, a.status, what)
		return
	}
	assert.True(t, a.err != nil || a.signed && c.whole(a.body), what)
}

// TestAnswerCutInItsHeadIsNotPassedOnAsWhole guards against a success with an empty or short body, framed as
// whole, where an endpoint stopped in the middle of its answer's head. All endpoints cut, at every byte.
// Host 0 reaches them directly, or over another host.
func TestAnswerCutInItsHeadIsNotPassedOnAsWhole(t *testing.T) {
	for _, relayed := range []bool{false, true} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("relayed %t, reset %t", relayed, reset), func(t *testing.T) {
				t.Parallel()
				d := newCutDeployment(t, 2)
				for _, e := range d.endpoints {
					e.SetCut(true)
				}
				if relayed {
					d.paths[0].Cut(platformtest.CutReset)
				}
				for _, c := range cutCases {
					d.forEachCut(c, func(after int) {
						cut := platformtest.Cut{After: after, Reset: reset}
						a := d.askCut(c, cut)
						checkCut(t, c, cut, a)
						assert.NotEqual(t, http.StatusOK, a.status, "no endpoint answers whole")
						if c.path == "/book/a" {
							assert.Equal(t, 1, d.runCount(a.id))
						}
					})
				}
			})
		}
	}
}

// TestAnswerCutInItsHeadIsFollowedByAWholeOne has one endpoint of each service that cuts. A request
// that may be repeated gets the whole answer of the other one, and nothing of the first, unless the
// budget of retries is spent.
func TestAnswerCutInItsHeadIsFollowedByAWholeOne(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	d.endpoints["p1"].SetCut(true)
	d.endpoints["e1"].SetCut(true)
	for _, c := range []cutCase{{"/look/a", 0}, {"/answer/a", 6}} {
		d.forEachCut(c, func(after int) {
			cut := platformtest.Cut{After: after}
			a := d.askCut(c, cut)
			checkCut(t, c, cut, a)
			assert.NoError(t, a.err)
			if a.status != http.StatusOK {
				assert.Equal(t, 1, d.runCount(a.id))
			}
		})
	}
}

// TestAnswerCutInItsHeadDoesNotEndAStream cuts the answers with which streams go on: within an answer, and
// for a caller who takes the stream up.
func TestAnswerCutInItsHeadDoesNotEndAStream(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %t", reset), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1)
			first := newID()
			readBody(t, d.send(d.newStreamRequest(0, "/answer/a", first, "0,0")))
			for _, id := range []string{"e1", "e2"} {
				d.endpoints[id].SetCut(true)
			}
			rest, all := cutCase{"/answer/a", 4}, cutCase{"/answer/a", 6}
			d.forEachCut(rest, func(after int) {
				cut := platformtest.Cut{After: after, Reset: reset, Resumed: true}
				checkCut(t, rest, cut, d.askCut(rest, cut, func(r *platformtest.CallerRequest) { r.ResumeAfter, r.Resumes = "2", first }))
			})
			d.abortStreams(2)
			d.forEachCut(all, func(after int) {
				a := d.askCut(all, platformtest.Cut{After: after, Reset: reset, Resumed: true})
				assert.Equal(t, http.StatusOK, a.status)
				assert.Error(t, a.err, "cut after %d bytes", after)
				assert.Equal(t, 2, strings.Count(a.body, "data: part"), "cut after %d bytes: %q", after, a.body)
			})
		})
	}
}
