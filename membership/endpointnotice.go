package membership

import (
	"context"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// noticeCopies is the number of hosts from which a host of a large fleet gets each notice,
	// so that those that are slow or do not reach the store do not delay it.
	noticeCopies = 3
	// noticeTimeout bounds a notice, noticeTries how often it is sent to a host that does not
	// answer. The heartbeats carry the changes too.
	noticeTimeout = cicadapitch.Second
	noticeTries   = 3
)

// followEndpoints watches the entries of the endpoints apart from the rest of the store until
// ctx ends, in the hosts of a large fleet that watch it, so that they do not wait behind large
// configurations. It tells the other hosts of endpoints that take no more requests.
func (m *Membership) followEndpoints(ctx context.Context) {
	after := cicadapitch.StoreRevision(0)
	for ctx.Err() == nil {
		revision := m.revision()
		if revision == 0 || m.allWatch() || !m.shouldWatchStore() {
			after = 0
			_ = m.clock.Sleep(ctx, heartbeatInterval) // the loop checks ctx
			continue
		}
		after = max(after, revision)
		askedAt := m.clock.Now()
		events, next, err := m.changes(ctx, &m.endpointWatch, platform.EndpointKeyPrefix(), after)
		if err != nil {
			// FollowStore logs that the store cannot be reached, or lists it again.
			after = 0
			_ = m.clock.Sleep(ctx, retryMaxDelay) // the loop checks ctx
			continue
		}
		after = max(after, next)
		if records := recordsOfEvents(events); len(records) > 0 {
			m.announceEndpoints(m.applyPart(records, storeWatch))
		}
		m.confirmKnowledge(askedAt, after)
		if len(events) > 0 {
			_ = m.clock.Sleep(ctx, watchBatchDelay) // the loop checks ctx
		}
	}
}

// endsUse reports whether a record of an endpoint says that it takes no more requests.
func endsUse(r fleet.Record) bool {
	id, ok := platform.EndpointIDFromKey(r.Key)
	if !ok || r.Removed {
		return ok
	}
	e, err := platform.DecodeEndpoint(id, r.Value, r.Revision)
	return err != nil || e.Leaving
}

// applyPart merges some of the changes up to their revisions; the mirror is not complete up to
// these. It returns the records that changed.
func (m *Membership) applyPart(records []fleet.Record, s source) []fleet.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	changed := m.mirror.Apply(now, records, 0)
	m.updateState(now, changed, s)
	return changed
}

// announceEndpoints tells other hosts of the endpoints that take no more requests by changes which
// this host has learned from the store, in the background: those hosts of a large fleet for which
// this one is among the first noticeCopies watchers.
func (m *Membership) announceEndpoints(changed []fleet.Change) {
	d := m.dialers.Load()
	records := lo.FilterMap(changed, func(c fleet.Change, _ int) (fleet.Record, bool) {
		// What a copy of the store lacks is most likely written again.
		return c.Record, endsUse(c.Record) && !(c.Removed && c.Restored())
	})
	if d == nil || len(records) == 0 || m.allWatch() {
		return
	}
	watchers := m.watchers()
	era := latestRevision(records).Era()
	notice := EndpointNotice{m.settings.Host, era, bareRecords(records, era)}
	for _, h := range m.View().Hosts {
		position := fleet.Position(h.Incarnation, watchers, fleet.HostIncarnation, m.incarnation)
		if m.IsSelf(h) || position < 0 || position >= noticeCopies {
			continue
		}
		go m.notify(d, h, notice)
	}
}

// notify sends a notice to a host, again if that fails while the host may lack its records.
func (m *Membership) notify(d *Dialers, h fleet.Host, n EndpointNotice) {
	latest := latestRevision(fullRecords(n.Records, n.Era))
	for try := 1; try <= noticeTries && m.revisionOf(h) < latest; try++ {
		start := m.clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout.Duration())
		_, err := peer.Call[EndpointNotice, struct{}](ctx, d.Control, h.Peers, callEndpointNotice, n)
		cancel()
		if err == nil {
			return
		}
		m.log.Warn().Str("Host", string(h.ID)).Int("Records", len(n.Records)).Int("Try", try).
			Int64("TookMs", int64(m.clock.Now().Sub(start))).Err(err).Msg("notice of endpoints that leave failed")
		_ = m.clock.Sleep(context.Background(), retryMinDelay) // cannot fail with this context
	}
}

func latestRevision(records []fleet.Record) cicadapitch.StoreRevision {
	return lo.MaxBy(records, func(a, b fleet.Record) bool { return a.Revision > b.Revision }).Revision
}

// revisionOf returns the revision of the store in the last heartbeat of a host.
func (m *Membership) revisionOf(h fleet.Host) cicadapitch.StoreRevision {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p := m.peers[h.Incarnation]; p != nil {
		return p.Revision
	}
	return 0
}

// applyNotice applies a notice of another host.
func (m *Membership) applyNotice(n EndpointNotice) {
	m.applyPart(fullRecords(n.Records, m.eraOf(n.Era)), source{string(n.Host), byNotice})
}
