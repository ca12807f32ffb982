package gateway

import (
	"context"
	"slices"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/origin"
)

// evidence is what is known of where a stream began that a caller takes up.
type evidence struct {
	// claims holds the claim of this host and those of the other hosts that answered.
	claims []origin.Claim
	// window is how long ago the stream can have begun.
	window cicadapitch.Millis
	// asked is the number of other hosts that were asked, services that of the services at which the
	// stream may have begun.
	asked, services int
	// confirmErr says why the versions of the service could not be confirmed. It is nil if they
	// were, or if that was not tried.
	confirmErr error
}

// gatherEvidence asks this host, then other hosts for a record of the stream, and then the store
// for the versions of the service, unless several are known already or the route leads to several
// services.
func (p *proxiedRequest) gatherEvidence(ctx context.Context) evidence {
	g := p.g
	e := evidence{window: p.streamLifetime() + origin.ListDelay}
	query := OriginQuery{p.request.Resumes, p.service.Name, e.window}
	e.claims = []origin.Claim{g.origins.claim(g.clock.Now(), query)}
	if e.recorded() {
		return e
	}
	var others []origin.Claim
	others, e.asked = g.queryOrigin(ctx, query, p.request.ID)
	e.claims = append(e.claims, others...)
	if e.services = len(p.route.Services()); e.recorded() || e.services > 1 || len(e.versions()) > 1 {
		return e
	}
	e.confirmErr = g.membership.ConfirmVersions(ctx, p.service.Name)
	e.claims[0] = g.origins.claim(g.clock.Now(), query)
	// A list without versions, as of an odd writer, confirms nothing.
	e.claims[0].Confirmed = e.confirmErr == nil && len(g.origins.history.Listed(p.service.Name)) > 0
	return e
}

// recorded reports whether a host has a record of the stream.
func (e *evidence) recorded() bool {
	return slices.ContainsFunc(e.claims, func(c origin.Claim) bool { return c.Recorded })
}

// versions returns the versions that any host has seen, in order.
func (e *evidence) versions() []string {
	var seen []string
	for _, c := range e.claims {
		for _, v := range c.Seen {
			seen = append(seen, string(v))
		}
	}
	slices.Sort(seen)
	return slices.Compact(seen)
}

// retryAfter returns when callers may come back if the stream's origin is unknown.
func (e *evidence) retryAfter() cicadapitch.Millis {
	if err := cicadapitch.AsError(e.confirmErr); err != nil {
		return err.RetryAfter
	}
	return 0
}

// log adds the evidence to a log line.
func (e *evidence) log(event *zerolog.Event, source origin.Source) {
	event.Int("Asked", e.asked).Int("Claims", len(e.claims))
	if source == origin.Recorded {
		return
	}
	event.Int64("WindowMs", int64(e.window)).Int("Services", e.services).Strs("Seen", e.versions()).
		Bool("Confirmed", lo.SomeBy(e.claims, func(c origin.Claim) bool { return c.Confirmed })).Err(e.confirmErr)
}
