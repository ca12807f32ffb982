package gateway

import (
	"context"
	"slices"
	"sync"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/origin"
	"cicadapitch.example/cicadapitch/peer"
)

// Names of the calls on origins of streams, as sent on the wire.
const (
	callFindOrigin = "origin"
	callAddOrigins = "origins"
)

const (
	// originReplicas is the number of other hosts that hold the record of a stream, so
	// that it outlives the host that began the stream.
	originReplicas = 3
	// originQueryHosts is the number of other hosts that are asked for a record. It is
	// larger than originReplicas, since hosts may have come since the record was sent.
	originQueryHosts = 8
	// originQueryTimeout bounds the query, and so the delay of a stream that is taken up.
	originQueryTimeout cicadapitch.Millis = 300
	// originFlushDelay is how long records for the same host are collected.
	originFlushDelay cicadapitch.Millis = 20
	// maxStreamLifetime bounds the time for which a stream may be taken up.
	maxStreamLifetime = 10 * cicadapitch.Minute
)

// OriginQuery asks a host where a stream began.
type OriginQuery struct {
	// Request brought the first event of the stream. It is empty if the caller does not
	// name it.
	Request cicadapitch.RequestID
	// Service is that of the request that takes the stream up.
	Service catalog.ServiceID
	// Window is how long the stream can have lasted.
	Window cicadapitch.Millis
}

// OriginNotice carries records of streams that the sender began.
type OriginNotice struct{ Records []origin.Record }

// origins holds what this host knows of the origins of streams, and the records that it
// has yet to send.
type origins struct {
	registry *origin.Registry
	history  *origin.History

	// mu guards the fields below.
	mu sync.Mutex
	// pending holds records by the address of the host that they are sent to. A flush
	// is due while there are any.
	pending map[string][]origin.Record
}

func newOrigins() *origins {
	return &origins{registry: origin.NewRegistry(), history: origin.NewHistory(), pending: map[string][]origin.Record{}}
}

// claim returns what this host knows about a stream.
func (o *origins) claim(now cicadapitch.Instant, q OriginQuery) origin.Claim {
	var c origin.Claim
	c.Origin, c.Recorded = o.registry.Find(now, q.Request)
	if !c.Recorded {
		c.Seen, c.Complete = o.history.Seen(now, q.Service, q.Window)
	}
	return c
}

// enqueue adds a record for the hosts at the addresses and reports whether a flush has
// to be scheduled.
func (o *origins) enqueue(rec origin.Record, addresses []string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	scheduled := len(o.pending) > 0
	for _, a := range addresses {
		o.pending[a] = append(o.pending[a], rec)
	}
	return !scheduled && len(o.pending) > 0
}

// takePending returns the pending records and empties them.
func (o *origins) takePending() map[string][]origin.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	pending := o.pending
	o.pending = map[string][]origin.Record{}
	return pending
}

// originHosts returns up to n other hosts that hold the record of a stream, or would. A
// host that has restarted can be registered as both incarnations; it counts once.
func (g *Gateway) originHosts(id cicadapitch.RequestID, n int) []fleet.Host {
	owners := lo.UniqBy(g.membership.OwnersOf(string(id)), func(h fleet.Host) string { return h.Peers })
	others := lo.Reject(owners, func(h fleet.Host, _ int) bool { return h.Peers == g.peerAddress })
	return others[:min(n, len(others))]
}

// recordOrigin records where the stream began, here and at other hosts in the background.
// The caller must not have got an event yet.
func (p *proxiedRequest) recordOrigin(e fleet.Endpoint) {
	if p.origin != nil {
		return
	}
	p.origin = &origin.Origin{Service: p.service.Name, Version: e.Version}
	rec := origin.Record{Request: p.request.ID, Origin: *p.origin, Lifetime: p.streamLifetime()}
	g := p.g
	g.origins.registry.Add(g.clock.Now(), rec)
	addresses := lo.Map(g.originHosts(rec.Request, originReplicas), func(h fleet.Host, _ int) string { return h.Peers })
	if g.membership.Dialer() != nil && g.origins.enqueue(rec, addresses) {
		go g.flushOrigins()
	}
}

// flushOrigins sends the pending records after originFlushDelay.
func (g *Gateway) flushOrigins() {
	// Sleep cannot fail with this context.
	_ = g.clock.Sleep(context.Background(), originFlushDelay)
	for address, records := range g.origins.takePending() {
		go g.sendOrigins(address, records)
	}
}

// sendOrigins sends records to a host. A failure is logged and not retried: the other
// hosts and this one have the records too.
func (g *Gateway) sendOrigins(address string, records []origin.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout.Duration())
	defer cancel()
	if _, err := peer.Call[OriginNotice, struct{}](ctx, g.membership.Dialer(), address, callAddOrigins, OriginNotice{records}); err != nil {
		g.log.Warn().Str("Peer", address).Int("Records", len(records)).Err(err).Msg("sending origins of streams failed")
	}
}

// addOrigins adds the records of another host.
func (g *Gateway) addOrigins(n OriginNotice) {
	now := g.clock.Now()
	for _, rec := range n.Records {
		g.origins.registry.Add(now, rec)
	}
}

// findOrigin finds out where the stream that the caller takes up began, and makes the
// request go on only there. It does nothing for other requests. The error is NotRun if
// the origin is unknown or its service is not one of the route any more.
func (p *proxiedRequest) findOrigin(ctx context.Context) error {
	if !p.route.Resumable || p.request.ResumeAfter == "" {
		return nil
	}
	start := p.g.clock.Now()
	query := OriginQuery{p.request.Resumes, p.service.Name, p.streamLifetime()}
	claims := []origin.Claim{p.g.origins.claim(start, query)}
	if !claims[0].Recorded {
		claims = append(claims, p.g.queryOrigin(ctx, query, p.request.ID)...)
	}
	o, source := origin.Resolve(p.service.Name, claims)
	service := p.view.Catalog.Services[o.Service]
	allowed := service != nil && p.route.Allows(o.Service)
	p.g.log.Info().Str("Id", string(p.request.ID)).Str("Resumes", string(p.request.Resumes)).
		Stringer("Source", source).Str("Service", string(o.Service)).Str("Version", string(o.Version)).Bool("Allowed", allowed).
		Int("Claims", len(claims)).Int64("TookMs", int64(p.g.clock.Now().Sub(start))).Msg("origin")
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

// queryOrigin asks other hosts for their claims on a stream, in parallel, and returns
// those that came in time, up to the first with a record. id spreads queries that name
// no stream.
func (g *Gateway) queryOrigin(ctx context.Context, q OriginQuery, id cicadapitch.RequestID) []origin.Claim {
	dialer := g.membership.Dialer()
	if dialer == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout.Duration())
	defer cancel()
	if q.Request != "" {
		id = q.Request
	}
	hosts := g.originHosts(id, originQueryHosts)
	answers := make(chan *origin.Claim, len(hosts))
	for _, h := range hosts {
		go func() {
			c, err := peer.Call[OriginQuery, origin.Claim](ctx, dialer, h.Peers, callFindOrigin, q)
			if err != nil {
				if ctx.Err() == nil {
					g.log.Warn().Str("Host", string(h.ID)).Err(err).Msg("asking a host for the origin of a stream failed")
				}
				answers <- nil
				return
			}
			answers <- &c
		}()
	}
	var claims []origin.Claim
	for range hosts {
		c := <-answers
		if c == nil {
			continue
		}
		claims = append(claims, *c)
		if c.Recorded {
			break
		}
	}
	return claims
}

// streamLifetime returns how long after its beginning the stream may be taken up.
func (p *proxiedRequest) streamLifetime() cicadapitch.Millis {
	if p.route.Timeout <= 0 {
		return maxStreamLifetime
	}
	return min(max(p.route.Timeout, p.request.Timeout), maxStreamLifetime)
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
