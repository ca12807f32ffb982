package gateway

import (
	"context"
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
)

// OriginQuery asks a host where a stream began.
type OriginQuery struct {
	// Request brought the first event of the stream. It is empty if the caller does not
	// name it.
	Request cicadapitch.RequestID
	// Service is that of the request that takes the stream up.
	Service catalog.ServiceID
	// Window is how long ago the stream can have begun.
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
	// journal holds the records that the store lacks.
	journal origin.Journal
}

func newOrigins() *origins {
	return &origins{registry: origin.NewRegistry(), history: origin.NewHistory(), pending: map[string][]origin.Record{}}
}

// AddRecords adds records that the store holds in an era.
func (o *origins) AddRecords(now cicadapitch.Instant, e cicadapitch.StoreEra, records []origin.Record) {
	for _, rec := range records {
		o.registry.AddStored(now, rec, e)
	}
}

// ApplyVersions records what the store lists of the versions of a service.
func (o *origins) ApplyVersions(now cicadapitch.Instant, s catalog.ServiceID, stored []origin.StoredVersion) {
	o.history.ApplyStored(now, s, stored)
}

// Versions returns the versions that the store has to hold, by service.
func (o *origins) Versions(now cicadapitch.Instant) map[catalog.ServiceID][]origin.StoredVersion {
	return o.history.StoredVersions(now)
}

// TakeRecords returns up to n records that have to be stored: those of services that have had
// several versions while the streams lived.
func (o *origins) TakeRecords(now cicadapitch.Instant, n int) []origin.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	several := map[catalog.ServiceID]bool{}
	return o.journal.Take(now, n, func(rec origin.Record) bool {
		s := rec.Origin.Service
		if _, ok := several[s]; !ok {
			several[s] = len(o.history.Seen(now, s, origin.MaxLifetime)) > 1
		}
		return several[s]
	})
}

// ReturnRecords adds records that are not stored, or could not be.
func (o *origins) ReturnRecords(now cicadapitch.Instant, records []origin.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, rec := range records {
		o.journal.Add(now, rec)
	}
}

// RenewRecords adds the records that are not stored in an era, of the streams for which owned returns true, to those that
// have to be, and returns how many there are.
func (o *origins) RenewRecords(now cicadapitch.Instant, e cicadapitch.StoreEra, owned func(cicadapitch.RequestID) bool) int {
	records := o.registry.TakeUnstored(now, e, owned)
	o.ReturnRecords(now, records)
	return len(records)
}

// claim returns what this host knows about a stream.
func (o *origins) claim(now cicadapitch.Instant, q OriginQuery) origin.Claim {
	var c origin.Claim
	c.Origin, c.Recorded = o.registry.Find(now, q.Request)
	if !c.Recorded {
		c.Seen = o.history.Seen(now, q.Service, q.Window)
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

// shareOrigin adds a record of a stream that this host has begun, and sends it to other
// hosts in the background.
func (g *Gateway) shareOrigin(rec origin.Record) {
	g.origins.registry.Add(g.clock.Now(), rec)
	g.origins.ReturnRecords(g.clock.Now(), []origin.Record{rec})
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
	for _, rec := range n.Records {
		g.origins.registry.Add(g.clock.Now(), rec)
	}
}

// queryOrigin asks other hosts for their claims on a stream, in parallel, and returns
// those that came in time, up to the first with a record, and how many were asked. id
// spreads queries that name no stream.
func (g *Gateway) queryOrigin(ctx context.Context, q OriginQuery, id cicadapitch.RequestID) ([]origin.Claim, int) {
	dialer := g.membership.Dialer()
	if dialer == nil {
		return nil, 0
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
	return claims, len(hosts)
}
