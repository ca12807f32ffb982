package gateway

import (
	"context"
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

const (
	// endCheckDelay is the time from a broken answer to the check whether its endpoint has
	// ended. All answers that the end of a process breaks off arrive within it.
	endCheckDelay cicadapitch.Millis = 30
	// endCheckTimeout bounds the check.
	endCheckTimeout cicadapitch.Millis = 500
)

// brokenRun is a run of a request whose answer broke off.
type brokenRun struct {
	// parts are the keys of the request in the quarantine.
	parts []string
	// sentAt is when the request was sent, brokenAt when its answer broke off.
	sentAt, brokenAt cicadapitch.Instant
}

// endCheck finds out whether an endpoint has ended. done is closed afterwards.
type endCheck struct {
	runs []brokenRun
	done chan struct{}
}

// endChecks holds the checks that are due, by endpoint.
type endChecks struct {
	mu  sync.Mutex
	due map[cicadapitch.EndpointID]*endCheck
}

func newEndChecks() *endChecks {
	return &endChecks{due: map[cicadapitch.EndpointID]*endCheck{}}
}

// add adds a broken run to the check of its endpoint, and reports whether the check has
// to be started.
func (c *endChecks) add(id cicadapitch.EndpointID, run brokenRun) (*endCheck, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.due[id]
	started := check != nil
	if !started {
		check = &endCheck{done: make(chan struct{})}
		c.due[id] = check
	}
	check.runs = append(check.runs, run)
	return check, !started
}

// take returns the runs of the check of an endpoint, which gets no further ones.
func (c *endChecks) take(id cicadapitch.EndpointID) []brokenRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.due[id].runs
	delete(c.due, id)
	return runs
}

// checkEnd checks in the background whether the endpoint of a broken run has ended. The
// channel is closed once that is known.
func (g *Gateway) checkEnd(e fleet.Endpoint, run brokenRun) <-chan struct{} {
	check, start := g.endChecks.add(e.ID, run)
	if start {
		go func() {
			defer close(check.done)
			// Sleep cannot fail with this context.
			_ = g.clock.Sleep(context.Background(), endCheckDelay)
			runs := g.endChecks.take(e.ID)
			ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout.Duration())
			defer cancel()
			g.recordEndCheck(e, runs, g.relayDialer.Refuses(ctx, e.Address))
		}()
	}
	return check.done
}

// recordEndCheck logs and counts the result of a check, and records a crash.
func (g *Gateway) recordEndCheck(e fleet.Endpoint, runs []brokenRun, ended bool) {
	g.log.Info().Str("Endpoint", string(e.ID)).Int64("EntryRevision", e.Revision.Number()).
		Int("BrokenAnswers", len(runs)).Bool("Ended", ended).Msg("endpoint check")
	if ended {
		g.metrics.Tagged(map[string]string{"Service": string(e.Service)}).Counter("EndpointsEnded").Inc(1)
		g.recordCrash(e, runs)
	}
}
