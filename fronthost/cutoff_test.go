package fronthost_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/fronthost"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// detectionTime is the time after the beginning of a cut from which on callers of cut hosts
// have to be served as often as those of the others.
const detectionTime = 3 * time.Second

// cutDeployment is a deployment whose hosts' paths to the endpoints, or to the store and other hosts, can
// be cut.
type cutDeployment struct {
	*deployment
	paths []*platformtest.Path
}

func newCutDeployment(t *testing.T, hosts int) *cutDeployment {
	return newPathDeployment(t, hosts, fronthost.WithEndpointDial)
}

// newPathDeployment returns a deployment whose hosts open the connections that option covers over paths of
// their own.
func newPathDeployment(t *testing.T, hosts int, option func(platform.DialFunc) fronthost.Option) *cutDeployment {
	c := &cutDeployment{}
	for range hosts {
		c.paths = append(c.paths, platformtest.NewPath())
	}
	c.deployment = newDeployment(t, hosts, func(d *deployment) {
		d.hostOptions = func(i int) []fronthost.Option { return []fronthost.Option{option(c.paths[i].DialContext)} }
	})
	return c
}

// outcome counts the first tries of callers at a host, and keeps why those failed that were not
// served.
type outcome struct {
	asked, served atomic.Int64
	mu            sync.Mutex
	failures      []error
}

// add counts a first try that ended with err, or was served if that is nil.
func (o *outcome) add(err error) {
	o.asked.Add(1)
	if err == nil {
		o.served.Add(1)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failures = append(o.failures, err)
}

// askAll sends requests of each kind to all hosts for a time, one of each kind in each
// interval, and returns the outcomes by host. No request may run twice.
func (c *cutDeployment) askAll(duration, interval time.Duration) []*outcome {
	out := make([]*outcome, len(c.hostSettings))
	for i := range out {
		out[i] = &outcome{}
	}
	var wg sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		for i := range c.hostSettings {
			for _, kind := range []string{"book", "look", "plan", "answer"} {
				wg.Go(func() {
					out[i].add(c.askOnce(i, kind))
				})
			}
		}
	}
	wg.Wait()
	return out
}

// askOnce sends one request and returns why no whole, signed answer came, or nil.
func (c *cutDeployment) askOnce(i int, kind string) error {
	id, start := newID(), time.Now()
	req := c.newRequest(i, "POST", "/"+kind+"/a", id)
	switch kind {
	case "plan":
		req = c.newStreamRequest(i, "/plan/a", id, "")
	case "answer":
		req = c.newStreamRequest(i, "/answer/a", id, "1,1")
	}
	failed := func(format string, args ...any) error {
		return fmt.Errorf("%s %s after %v: %w", kind, id, time.Since(start), fmt.Errorf(format, args...))
	}
	resp, err := c.trySend(req)
	if err != nil {
		return failed("%w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if kind == "book" && c.runCount(id) > 1 {
		c.t.Errorf("request %s ran twice", id)
	}
	switch {
	case err != nil:
		return failed("%w after %q", err, b)
	case resp.StatusCode != http.StatusOK || !platformtest.Signed(resp, id):
		return failed("status %d, %q", resp.StatusCode, b)
	case req.Tokens != "" && strings.Count(string(b), "data: part") != 6:
		return failed("another number of events: %q", b)
	}
	return nil
}

// TestCallersOfHostsThatAreCutOffAreServed cuts hosts off from all endpoints, or from all but
// one, while other hosts reach them. From the detection time on first tries at the cut hosts
// have to be served as often as those at the others.
func TestCallersOfHostsThatAreCutOffAreServed(t *testing.T) {
	for name, c := range map[string]struct {
		hosts, cut int
		kind       platformtest.CutKind
		spareOne   bool
	}{
		"one host, silent":                     {4, 1, platformtest.CutSilent, false},
		"one host, reset":                      {4, 1, platformtest.CutReset, false},
		"one host, new connections refused":    {4, 1, platformtest.CutNew, false},
		"one host, silent, reaches one engine": {4, 1, platformtest.CutSilent, true},
		"half of the hosts, silent":            {4, 2, platformtest.CutSilent, false},
		"all hosts but one, silent":            {4, 3, platformtest.CutSilent, false},
		"all hosts but one, reset":             {4, 3, platformtest.CutReset, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newCutDeployment(t, c.hosts)
			d.askAll(500*time.Millisecond, 200*time.Millisecond)
			var spared []string
			if c.spareOne {
				spared = append(spared, d.endpoints["e1"].Address())
			}
			for i := range c.cut {
				d.paths[i].Cut(c.kind, spared...)
			}
			d.askAll(detectionTime, 200*time.Millisecond)
			for i, o := range d.askAll(3*time.Second, 200*time.Millisecond) {
				share := float64(o.served.Load()) / float64(o.asked.Load())
				require.GreaterOrEqual(t, share, 0.98, "host %d, cut: %t: %v", i, i < c.cut, o.failures)
			}
		})
	}
}

// TestHostReturnsToDirectConnectionsAfterACut guards against detours that outlast a cut, and
// against requests that are quarantined because a cut host took the endpoints for crashed.
func TestHostReturnsToDirectConnectionsAfterACut(t *testing.T) {
	d := newCutDeployment(t, 3)
	d.askAll(500*time.Millisecond, 200*time.Millisecond)
	for range 3 {
		d.paths[0].Cut(platformtest.CutReset)
		d.askAll(1500*time.Millisecond, 200*time.Millisecond)
		d.paths[0].Mend()
		d.askAll(500*time.Millisecond, 200*time.Millisecond)
	}
	d.askAll(6*time.Second, 200*time.Millisecond)
	// No other host may open connections for this one any more.
	for _, p := range d.paths[1:] {
		p.Cut(platformtest.CutNew)
	}
	d.closeEndpointConnections()
	for i, o := range d.askAll(2*time.Second, 200*time.Millisecond) {
		if i == 0 {
			require.Equal(t, o.asked.Load(), o.served.Load())
		}
	}
}

// closeEndpointConnections makes all answers of the endpoints close their connections.
func (c *cutDeployment) closeEndpointConnections() {
	for _, e := range c.endpoints {
		e.SetCloseConnections(true)
	}
}
