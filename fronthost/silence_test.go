package fronthost_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
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

// silentAt makes all answers of the endpoints of a service fall silent for a second or so at the
// given places, or none without a place.
func (d *deployment) silentAt(service string, places ...platformtest.Silence) {
	for id, e := range d.endpoints {
		if e.Service == service {
			e.SetSilence(uint64(len(id)), 1, places...)
		}
	}
}

// silences returns the number of answers of a service that fell silent.
func (d *deployment) silences(service string) int {
	n := 0
	for _, e := range d.endpoints {
		if e.Service == service {
			n += e.Silences()
		}
	}
	return n
}

// requireWholeAnswer sends a request and requires the endpoint's whole answer. It returns the
// number of runs.
func (d *deployment) requireWholeAnswer(req platformtest.CallerRequest) int {
	r, err := d.trySend(req)
	require.NoError(d.t, err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	require.NoError(d.t, err, "%s %s: the answer is cut: %q", req.Path, req.ID, b)
	require.Equal(d.t, http.StatusOK, r.StatusCode, "%s %s: %s", req.Path, req.ID, b)
	require.True(d.t, platformtest.Signed(r, req.ID))
	if req.Tokens != "" {
		require.Equal(d.t, 6, strings.Count(string(b), "data: part"))
	} else {
		require.Contains(d.t, string(b), req.Path)
	}
	return d.runCount(req.ID)
}

// TestSilentEndpointsAnswerEveryKindOfRequest guards against answers that are ended or run again
// because a sound endpoint is silent for a second and goes on.
func TestSilentEndpointsAnswerEveryKindOfRequest(t *testing.T) {
	beforeEvents := []platformtest.Silence{platformtest.BeforeHead, platformtest.InHead, platformtest.AfterHead, platformtest.InBody}
	inStreams := append(slices.Clone(beforeEvents), platformtest.BetweenEvents, platformtest.InEvent)
	for _, c := range []struct {
		name, service, method, path, pieces string
		places                              []platformtest.Silence
		maxRuns                             int
	}{
		{"booking", "plain", "POST", "/book/a", "", beforeEvents, 1},
		{"look-up", "plain", "GET", "/look/a", "", beforeEvents, 2},
		{"stream that may resume", "engine", "POST", "/answer/a", "0,0", inStreams, 1},
		{"stream that may not resume", "engine", "POST", "/plan/a", "", inStreams, 1},
		{"stream with stages", "stage", "POST", "/answer/a", "2,1", beforeEvents, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1)
			for _, place := range c.places {
				d.silentAt(c.service, place)
				before := d.silences(c.service)
				req := d.newRequest(0, c.method, c.path, newID())
				if c.service != "plain" {
					req = d.newStreamRequest(0, c.path, newID(), c.pieces)
				}
				req.Deadline = 4900
				require.LessOrEqual(t, d.requireWholeAnswer(req), c.maxRuns, place)
				require.Greater(t, d.silences(c.service), before, place)
			}
		})
	}
}

// waitUnused waits until look-ups do not reach an endpoint any more.
func (d *deployment) waitUnused(id string) {
	require.Eventually(d.t, func() bool {
		before := len(d.endpoints[id].RunCounts())
		for range 10 {
			d.requireWholeAnswer(d.newRequest(0, "GET", "/look/a", newID()))
		}
		return len(d.endpoints[id].RunCounts()) == before
	}, 3*time.Second, 100*time.Millisecond)
}

// TestLookUpIsAnsweredByTheOnlyEndpointThatIsSilent guards against look-ups that are ended for a
// retry that no other endpoint can take.
func TestLookUpIsAnsweredByTheOnlyEndpointThatIsSilent(t *testing.T) {
	d := newDeployment(t, 1)
	d.store.Remove(platformtest.EndpointKey("p2"))
	d.waitUnused("p2")
	d.silentAt("plain", platformtest.BeforeHead)
	for range 3 {
		d.requireWholeAnswer(d.newRequest(0, "GET", "/look/a", newID()))
	}
}

// TestLookUpIsAnsweredBySilentEndpointsWithoutRetries guards against look-ups that are ended for a
// retry that the budget does not allow.
func TestLookUpIsAnsweredBySilentEndpointsWithoutRetries(t *testing.T) {
	d := newDeployment(t, 1, func(d *deployment) {
		d.changeSettings = func(s *platform.Settings) { s.Bounds.RetryRatio, s.Bounds.RetryExtra = 0, 0 }
	})
	d.silentAt("plain", platformtest.BeforeHead)
	for range 3 {
		require.Equal(t, 1, d.requireWholeAnswer(d.newRequest(0, "GET", "/look/a", newID())))
	}
}

// TestLongAnswerThatFallsSilentIsNotCut guards against look-ups whose answer is cut off for a retry
// after a part of it was passed on.
func TestLongAnswerThatFallsSilentIsNotCut(t *testing.T) {
	d := newDeployment(t, 1)
	for _, id := range []string{"p1", "p2"} {
		d.endpoints[id].SetFiller(1 << 20)
	}
	d.silentAt("plain", platformtest.InLongBody)
	for range 3 {
		require.Equal(t, 1, d.requireWholeAnswer(d.newRequest(0, "GET", "/look/a", newID())))
	}
	require.Equal(t, 3, d.silences("plain"))
}

// TestSilentStreamGoesOnWithoutAnotherEngine guards against streams that are cut off for a silence
// though no other engine can go on with them.
func TestSilentStreamGoesOnWithoutAnotherEngine(t *testing.T) {
	const stall = 2500 * time.Millisecond
	for name, c := range map[string]struct {
		// change is made before the hosts start, version is that of e2's software, or empty if e2
		// has no entry.
		change  func(*deployment)
		version string
	}{
		"no other engine":                     {func(*deployment) {}, ""},
		"the other engine of another version": {func(*deployment) {}, "v2"},
		"no retry in the budget": {func(d *deployment) {
			d.changeSettings = func(s *platform.Settings) { s.Bounds.RetryRatio, s.Bounds.RetryExtra = 0, 0 }
		}, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1, c.change)
			d.store.Remove(platformtest.EndpointKey("e2"))
			if c.version != "" {
				d.endpoints["e2"].SetVersion(c.version)
				d.store.Set(platformtest.EndpointKey("e2"), d.endpoints["e2"].Entry("ready"))
			}
			time.Sleep(500 * time.Millisecond)
			for _, id := range []string{"e1", "e2"} {
				d.endpoints[id].SetStall(stall)
			}
			for range 2 {
				req := d.newStreamRequest(0, "/answer/a", newID(), "0,0")
				req.Deadline = 4900
				require.Equal(t, 1, d.requireWholeAnswer(req))
			}
		})
	}
}

// TestSilentStreamIsNotCutWhereTheNextAttemptFails guards against streams that are cut since their
// engine is silent, though what the attempt at another one needs is refused.
func TestSilentStreamIsNotCutWhereTheNextAttemptFails(t *testing.T) {
	for name, refuse := range map[string]func(d *deployment){
		"engine": func(d *deployment) { d.endpoints["e2"].SetFull(true) },
		"stage":  func(d *deployment) { d.endpoints["s1"].SetFull(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1)
			d.endpoints["e1"].SetStall(2500 * time.Millisecond)
			// The stream begins at e1.
			d.store.Set(platformtest.EndpointKey("e2"), d.endpoints["e2"].Entry("draining"))
			time.Sleep(200 * time.Millisecond)
			id := newID()
			req := d.newStreamRequest(0, "/answer/a", id, "1,1")
			req.Deadline = 4900
			r := d.send(req)
			require.Equal(t, http.StatusOK, r.StatusCode)
			d.store.Set(platformtest.EndpointKey("e2"), d.endpoints["e2"].Entry("ready"))
			refuse(d)
			require.Equal(t, 6, strings.Count(readBody(t, r), "data: part"))
			require.Equal(t, 1, d.runCount(id))
		})
	}
}

// TestLookUpIsAnsweredByASilentEndpointWhereTheRetryIsRefused guards against look-ups that fail since
// their endpoint is silent for a second, though it goes on and the one that got the retry refuses.
func TestLookUpIsAnsweredByASilentEndpointWhereTheRetryIsRefused(t *testing.T) {
	d := newDeployment(t, 1)
	d.store.Set(platformtest.EndpointKey("p2"), d.endpoints["p2"].Entry("draining"))
	time.Sleep(300 * time.Millisecond)
	d.endpoints["p1"].SetSilence(1, 1, platformtest.BeforeHead)
	d.endpoints["p2"].SetFull(true)
	time.AfterFunc(30*time.Millisecond, func() { d.store.Set(platformtest.EndpointKey("p2"), d.endpoints["p2"].Entry("ready")) })
	d.requireWholeAnswer(d.newRequest(0, "GET", "/look/a", newID()))
	require.Equal(t, 1, d.silences("plain"))
}
