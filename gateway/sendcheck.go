package gateway

import (
	"context"
	"errors"
	"fmt"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

// errChoiceOutdated means that an endpoint no longer takes the request that was chosen for it.
// Nothing was sent to it.
var errChoiceOutdated = errors.New("the endpoint takes no requests any more")

// checkSend returns an error if the endpoint has left, its zone is out of service, or it has
// asked for a pause since it was chosen, if its version gets no more requests, or if this host does not know that. It is called when the
// bytes of a request are about to be written: a request may have waited for its connection or a
// trial since the choice.
func (g *Gateway) checkSend(ctx context.Context, e catalog.Endpoint) error {
	if err := g.membership.AwaitKnowledge(ctx); err != nil {
		return err
	}
	reason := ""
	switch {
	case !g.membership.View().Takes(e):
		reason = "has left or its zone is out of service"
	case g.limits.Leaves(e):
		reason = "is leaving"
	case g.paused(e.ID):
		reason = "has asked for a pause"
	case g.rollouts.forbids(e):
		reason = "is of a version that gets no requests"
	default:
		return nil
	}
	g.metrics.Counter("OutdatedChoices").Inc(1)
	return fmt.Errorf("%w: %w", errChoiceOutdated, cicadapitch.NewNotRun(string(e.ID)+" "+reason, fullRetryAfter))
}

// paused reports whether an endpoint has asked this host to send nothing for now.
func (g *Gateway) paused(id cicadapitch.EndpointID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chooser.Paused(g.clock.Now(), id)
}
