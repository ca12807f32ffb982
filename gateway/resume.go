package gateway

import (
	"context"
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/origin"
)

// findOrigin finds out where the stream that the caller takes up began, and makes the
// request go on only there. It does nothing for other requests. The error is NotRun if
// the origin is unknown or its service is not one of the route any more.
func (p *proxiedRequest) findOrigin(ctx context.Context) error {
	if !p.resumed() {
		return nil
	}
	start := p.g.clock.Now()
	query := OriginQuery{p.request.Resumes, p.service.Name, p.streamLifetime()}
	claims, asked := []origin.Claim{p.g.origins.claim(start, query)}, 0
	if !claims[0].Recorded {
		var others []origin.Claim
		others, asked = p.g.queryOrigin(ctx, query, p.request.ID)
		claims = append(claims, others...)
	}
	o, source := origin.Resolve(p.service.Name, claims)
	service := p.view.Catalog.Services[o.Service]
	allowed := service != nil && p.route.Allows(o.Service)
	event := p.g.log.Info().Str("Id", string(p.request.ID)).Str("Resumes", string(p.request.Resumes)).
		Stringer("Source", source).Str("Service", string(o.Service)).Str("Version", string(o.Version)).Bool("Allowed", allowed).
		Int("Asked", asked).Int("Claims", len(claims)).Int64("TookMs", int64(p.g.clock.Now().Sub(start)))
	if source != origin.Recorded {
		event.Int64("WindowMs", int64(query.Window)).Strs("Seen", seenVersions(claims)).
			Int("Complete", lo.CountBy(claims, func(c origin.Claim) bool { return c.Complete }))
		if age, ok := p.g.membership.KnowledgeAge(); ok {
			event.Int64("KnowledgeAgeMs", int64(age))
		}
	}
	event.Msg("origin")
	p.g.metrics.Tagged(map[string]string{"Source": source.String()}).Counter("StreamsTakenUp").Inc(1)
	switch {
	case source == origin.Unknown:
		return cicadapitch.NewNotRun("it is not known which software version began the stream", fullRetryAfter)
	case !allowed:
		return cicadapitch.NewNotRun("the route does not lead to service "+string(o.Service)+" any more, which began the stream", fullRetryAfter)
	}
	p.origin, p.service = &o, service
	return nil
}

// seenVersions returns the versions that any of the claims has seen, in order.
func seenVersions(claims []origin.Claim) []string {
	var seen []string
	for _, c := range claims {
		for _, v := range c.Seen {
			seen = append(seen, string(v))
		}
	}
	slices.Sort(seen)
	return slices.Compact(seen)
}

// recordOrigin records where the stream began, here and at other hosts in the background.
// The caller must not have got an event yet.
func (p *proxiedRequest) recordOrigin(e fleet.Endpoint) {
	if p.origin != nil {
		return
	}
	p.origin = &origin.Origin{Service: p.service.Name, Version: e.Version}
	rec := origin.Record{Request: p.request.ID, Origin: *p.origin, Lifetime: p.streamLifetime()}
	p.g.shareOrigin(rec)
}

// resumed reports whether the caller takes a stream up again.
func (p *proxiedRequest) resumed() bool { return p.route.Resumable && p.request.ResumeAfter != "" }

// streamLifetime returns how long after its beginning the stream may be taken up.
func (p *proxiedRequest) streamLifetime() cicadapitch.Millis {
	if p.route.Timeout <= 0 {
		return origin.MaxLifetime
	}
	return min(max(p.route.Timeout, p.request.Timeout), origin.MaxLifetime)
}

// candidates returns the endpoints of the service that the request may go to: those of
// the version that began the stream, once it has begun.
func (p *proxiedRequest) candidates() []fleet.Endpoint {
	list := p.g.membership.View().Endpoints(p.service.Name)
	if p.origin == nil {
		return list
	}
	return lo.Filter(list, func(e fleet.Endpoint, _ int) bool { return e.Version == p.origin.Version })
}

// hasCandidate reports whether there is an endpoint that the request may go to and has
// not been sent to.
func (p *proxiedRequest) hasCandidate() bool {
	return slices.ContainsFunc(p.candidates(), func(e fleet.Endpoint) bool { return !p.exclude[e.ID] })
}
