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
	e := p.gatherEvidence(ctx)
	o, source := origin.Resolve(p.service.Name, e.claims)
	service := p.view.Catalog.Services[o.Service]
	allowed := service != nil && p.route.Allows(o.Service)
	event := p.g.log.Info().Str("Id", string(p.request.ID)).Str("Resumes", string(p.request.Resumes)).
		Stringer("Source", source).Str("Service", string(o.Service)).Str("Version", string(o.Version)).Bool("Allowed", allowed).
		Int64("TookMs", int64(p.g.clock.Now().Sub(start)))
	e.log(event, source)
	event.Msg("origin")
	p.g.metrics.Tagged(map[string]string{"Source": source.String()}).Counter("StreamsTakenUp").Inc(1)
	switch {
	case source == origin.Unknown:
		return cicadapitch.NewNotRun("it is not known which software version began the stream", max(e.retryAfter(), fullRetryAfter))
	case !allowed:
		return cicadapitch.NewNotRun("the route does not lead to service "+string(o.Service)+" any more, which began the stream", fullRetryAfter)
	}
	p.origin, p.service = &o, service
	return nil
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
// the version that began the stream, once it has begun, and before those of versions at which a
// stream may begin that callers may take up. While the service has a rollout, they are those of the version
// that it has chosen for the attempt.
func (p *proxiedRequest) candidates() []fleet.Endpoint { return p.byVersion(p.ofListedVersions()) }

// ofListedVersions returns the candidates before a rollout of the service chooses among their versions.
func (p *proxiedRequest) ofListedVersions() []fleet.Endpoint {
	list := p.g.membership.View().Endpoints(p.service.Name)
	switch {
	case p.origin != nil:
		return lo.Filter(list, func(e fleet.Endpoint, _ int) bool { return e.Version == p.origin.Version })
	case !p.route.Resumable:
		return list
	}
	listed := p.g.origins.history.Listed(p.service.Name)
	return lo.Filter(list, func(e fleet.Endpoint, _ int) bool { return slices.Contains(listed, e.Version) })
}

// awaitVersion waits while the service has endpoints, but none of a version at which a stream may
// begin, up to maxEndpointWait. That is so until the store lists the first version of a service.
func (p *proxiedRequest) awaitVersion(ctx context.Context) {
	for waited := cicadapitch.Millis(0); waited < maxEndpointWait; waited += endpointPollInterval {
		if len(p.candidates()) > 0 || len(p.g.membership.View().Endpoints(p.service.Name)) == 0 ||
			p.origin != nil || p.g.clock.Sleep(ctx, endpointPollInterval) != nil {
			return
		}
	}
}

// hasCandidate reports whether there is an endpoint that the request may go to and has
// not been sent to.
func (p *proxiedRequest) hasCandidate() bool {
	return slices.ContainsFunc(p.candidates(), func(e fleet.Endpoint) bool { return !p.exclude[e.ID] })
}
