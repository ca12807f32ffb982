package fronthost_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// changeConfiguration stores the next version of the configuration of a deployment, with changes.
func (d *deployment) changeConfiguration(changes ...func(*platformtest.Configuration)) {
	d.version += 3
	c := platformtest.NewConfiguration(d.version, 14)
	for _, change := range changes {
		change(c)
	}
	b, err := json.Marshal(c)
	require.NoError(d.t, err)
	d.store.Set(platformtest.ConfigKey, b)
}

// do sends a request over a new connection.
func (d *deployment) do(req platformtest.CallerRequest, pieces platformtest.Pieces) platformtest.Exchange {
	c, err := platformtest.DialCaller(req.Address)
	require.NoError(d.t, err)
	defer c.Close()
	return c.Do(req, pieces, 10*time.Second)
}

// withTimeouts sets the time-out of all routes.
func withTimeouts(millis int) func(*platformtest.Configuration) {
	return func(c *platformtest.Configuration) {
		for i := range c.Routes {
			c.Routes[i].TimeoutMs = millis
		}
	}
}

func withoutRoutes(c *platformtest.Configuration) { c.Routes = c.Routes[:0] }

func withoutKeys(c *platformtest.Configuration) { c.Tenants[0].Keys = []string{"other"} }

func withoutServices(c *platformtest.Configuration) { c.Services = json.RawMessage("[]") }

func withTightLimits(c *platformtest.Configuration) {
	c.Limits = platformtest.LimitsConfig{HeaderBytes: 50, BodyBytes: 2, HeaderTimeoutMs: 50, IdleTimeoutMs: 50}
}

// runningChanges are the changes that must not end a request that was admitted before.
var runningChanges = map[string]func(*platformtest.Configuration){
	"shorter": withTimeouts(600), "routes": withoutRoutes, "keys": withoutKeys, "services": withoutServices, "limits": withTightLimits,
}

// TestRunningRequestsOutliveConfigurationChanges guards against requests that get no whole answer since
// a change drops what they use, or makes it tighter, while they run.
func TestRunningRequestsOutliveConfigurationChanges(t *testing.T) {
	for name, change := range runningChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 2)
			for _, e := range d.endpoints {
				e.SetDelay(700 * time.Millisecond)
				e.SetStall(300 * time.Millisecond)
			}
			type request struct {
				platformtest.CallerRequest
				platformtest.Pieces
			}
			var requests []request
			for i := range 2 {
				safe := d.newRequest(i, "GET", "/look/a", newID())
				safe.Body = nil
				body := d.newRequest(i, "POST", "/book/a", newID())
				body.Body = strings.NewReader(strings.Repeat("b", 3000))
				stages := d.newStreamRequest(i, "/answer/a", newID(), "1,1")
				stages.Deadline = 5000
				requests = append(requests, request{safe, platformtest.Pieces{}}, request{body, platformtest.Pieces{}},
					request{stages, platformtest.Pieces{}}, request{d.newStreamRequest(i, "/plan/a", newID(), ""), platformtest.Pieces{}})
			}
			results := make(chan platformtest.Exchange, len(requests))
			for _, r := range requests {
				go func() { results <- d.do(r.CallerRequest, r.Pieces) }()
			}
			time.Sleep(200 * time.Millisecond)
			d.changeConfiguration(change)
			for range requests {
				x := <-results
				require.Equal(t, platformtest.Whole, x.Ending, "%s: %v", x.Ending, x.Err)
				if x.Status() != http.StatusServiceUnavailable {
					require.Equal(t, http.StatusOK, x.Status(), "%s", x.Body)
					continue
				}
				require.Zero(t, d.runCount(x.ID))
			}
		})
	}
}

// TestWaitingRequestsAreAnsweredAfterConfigurationChanges covers requests that wait for an engine or in
// the queue of a stage when a change drops what they wait for.
func TestWaitingRequestsAreAnsweredAfterConfigurationChanges(t *testing.T) {
	for name, change := range runningChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 2)
			d.endpoints["e1"].SetFull(true)
			d.endpoints["e2"].SetFull(true)
			d.endpoints["s1"].SetDelay(600 * time.Millisecond)
			const waiting = 12
			results := make(chan platformtest.Exchange, waiting)
			for n := range waiting {
				go func() {
					req := d.newStreamRequest(n%2, "/answer/a", newID(), fmt.Sprintf("%d,1", 4*(n%3)))
					results <- d.do(req, platformtest.Pieces{})
				}()
			}
			time.Sleep(300 * time.Millisecond)
			d.changeConfiguration(change)
			for range waiting {
				x := <-results
				require.Equal(t, platformtest.Whole, x.Ending, "%s: %v", x.Ending, x.Err)
				require.Equal(t, http.StatusServiceUnavailable, x.Status(), "%s", x.Body)
				require.Zero(t, d.runCount(x.ID))
			}
		})
	}
}

// TestRequestsInTransitAreAnsweredAfterConfigurationChanges covers requests of which a part has come when
// the limits of callers change, over new and used connections.
func TestRequestsInTransitAreAnsweredAfterConfigurationChanges(t *testing.T) {
	ways := []platformtest.Pieces{
		{},
		{Size: 200, Pause: 40 * time.Millisecond},
		{Size: 200, Pause: 40 * time.Millisecond, Chunked: true},
		{AwaitContinue: true, Size: 200, Pause: 40 * time.Millisecond},
	}
	changes := map[string]func(*platformtest.LimitsConfig){
		"idle":   func(l *platformtest.LimitsConfig) { l.IdleTimeoutMs = 100 },
		"header": func(l *platformtest.LimitsConfig) { l.HeaderTimeoutMs = 2000 },
		"body":   func(l *platformtest.LimitsConfig) { l.BodyBytes = 4000 },
		"bytes":  func(l *platformtest.LimitsConfig) { l.HeaderBytes = 1000 },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 1)
			d.endpoints["p1"].SetDelay(300 * time.Millisecond)
			d.endpoints["p2"].SetDelay(300 * time.Millisecond)
			results := make(chan platformtest.Exchange, 2*len(ways))
			var connected sync.WaitGroup
			for _, pieces := range ways {
				for _, used := range []bool{false, true} {
					connected.Add(1)
					go func() {
						c, err := platformtest.DialCaller(d.hostSettings[0].CallerListen)
						require.NoError(t, err)
						defer c.Close()
						if used {
							c.Do(d.newRequest(0, "GET", "/look/a", newID()), platformtest.Pieces{}, 5*time.Second)
						}
						connected.Done()
						connected.Wait()
						req := d.newRequest(0, "POST", "/book/a", newID())
						req.Body = strings.NewReader(strings.Repeat("b", 3000))
						results <- c.Do(req, pieces, 5*time.Second)
					}()
				}
			}
			connected.Wait()
			time.Sleep(100 * time.Millisecond)
			d.changeConfiguration(func(c *platformtest.Configuration) { change(&c.Limits) })
			for range cap(results) {
				x := <-results
				require.Equal(t, platformtest.Whole, x.Ending, "%s: %v", x.Ending, x.Err)
				require.Equal(t, http.StatusOK, x.Status(), "%s", x.Body)
			}
		})
	}
}
