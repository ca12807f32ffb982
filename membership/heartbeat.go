package membership

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// leaseTTL is the time after its last renewal at which a host's lease expires and
	// the store removes the host's entry. Together with livenessTimeout it takes a dead
	// host out of the directory long before the platform's contract requires that.
	leaseTTL cicadapitch.Millis = 4000
	// leaseRenewInterval is the pause between two renewals of the lease. Two of them may
	// fail before the lease expires.
	leaseRenewInterval cicadapitch.Millis = 1200
	// registrablePollInterval is the pause between two looks whether a host that has started can
	// register.
	registrablePollInterval cicadapitch.Millis = 50
	// maxSecretWait bounds how long a host that has started waits for another one to create the
	// deployment's secret.
	maxSecretWait cicadapitch.Millis = 500
	// syncDelay is how long a host that watches the store waits for a change to arrive
	// from the store before it fetches the change from another host.
	syncDelay cicadapitch.Millis = 250
	// syncTimeout bounds one fetch of changes from another host. Later heartbeats start
	// further ones.
	syncTimeout cicadapitch.Millis = 1000
)

// Secret returns the deployment's secret, 32 hexadecimal digits. It takes the one that FollowStore has read.
// If that is missing for a time that differs between hosts, Secret reads the store itself and creates the
// secret if there is none. It retries failed store calls until ctx ends; its only error is that of ctx.
func (m *Membership) Secret(ctx context.Context) ([]byte, error) {
	secret, err := m.findSecret(ctx)
	if err == nil {
		m.secret.Store(&secret)
	}
	return secret, err
}

// findSecret implements Secret.
func (m *Membership) findSecret(ctx context.Context) ([]byte, error) {
	start, own := m.clock.Now(), cicadapitch.Millis(rand.Int64N(int64(maxSecretWait)))
	for ; ; own += retryMinDelay {
		for m.clock.Now().Sub(start) < own {
			if v, ok := m.storedValue(secretStoreKey); ok {
				return v, nil
			}
			if err := m.clock.Sleep(ctx, registrablePollInterval); err != nil {
				return nil, err
			}
		}
		items, _, err := m.store.List(ctx, secretStoreKey)
		if err == nil && len(items) > 0 {
			return items[0].Value, nil
		}
		if err == nil {
			secret := []byte(randomID() + randomID())
			_, err = m.store.Commit(ctx, []cicadapitch.Condition{{Key: secretStoreKey}}, []cicadapitch.Write{{Key: secretStoreKey, Value: secret}})
			if err == nil {
				return secret, nil
			}
		}
		if !errors.Is(err, platform.ErrConflict) {
			m.markStoreDown(err)
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// storedValue returns the value of a key of the store, as far as this host has read it.
func (m *Membership) storedValue(key string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mirror.Value(key)
}

// Dialers make the calls to other hosts, each over connections of its own, so that calls of
// one kind do not wait behind those of another.
type Dialers struct {
	// Requests makes the calls for callers' requests, Control those that keep the hosts'
	// knowledge of endpoints and hosts up to date, and Bulk those with large answers.
	Requests, Control, Bulk *peer.Dialer
}

// EnablePeerCalls registers the handlers for heartbeats, sync requests, notices and changes of
// the configuration at s, and makes calls with d from then on.
func (m *Membership) EnablePeerCalls(s *peer.Server, d Dialers) {
	peer.Handle(s, callHeartbeat, func(_ context.Context, hb Heartbeat) (Heartbeat, error) {
		m.receiveHeartbeat(m.checkHeartbeat(hb))
		return m.newHeartbeat(), nil
	})
	peer.Handle(s, callSync, m.serveSync)
	peer.Handle(s, callCatalogChange, m.serveChange)
	peer.Handle(s, callCatalogNotice, func(_ context.Context, n CatalogNotice) (struct{}, error) {
		m.learnCatalog(n.Head, n.Peers)
		return struct{}{}, nil
	})
	peer.Handle(s, callEndpointNotice, func(_ context.Context, n EndpointNotice) (struct{}, error) {
		m.applyNotice(n)
		return struct{}{}, nil
	})
	peer.Handle(s, callOriginBatch, func(_ context.Context, b OriginBatch) (struct{}, error) {
		m.origins.ReturnRecords(m.clock.Now(), b.Records)
		return struct{}{}, nil
	})
	m.dialers.Store(&d)
}

// serveSync answers a SyncRequest. A host of an earlier build gets the configuration with
// the records, or an error if this host knows it only by changes.
func (m *Membership) serveSync(_ context.Context, r SyncRequest) (SyncReply, error) {
	since := fullRevision(r.Since, m.eraOf(r.Era))
	m.mu.Lock()
	defer m.mu.Unlock()
	revision := m.mirror.Revision()
	era := revision.Era()
	reply := SyncReply{Era: era, Revision: bareRevision(revision, era), Endpoints: bareClaim(m.knowledge.Claim(m.clock.Now()), era)}
	records, scope := m.mirror.Answer(since, r.TakesListing)
	reply.Records, reply.Scope = bareRecords(records, era), scope
	if r.WithoutCatalog || m.catalogRevision <= since {
		return reply, nil
	}
	if m.catalogRecord.Revision < m.catalogRevision || m.catalogRecord.Revision.Era() != era {
		return SyncReply{}, cicadapitch.NewError(cicadapitch.Unavailable, "this host has the configuration in another form", "ask another host or the store")
	}
	reply.Records = append(reply.Records, bareRecords([]fleet.Record{m.catalogRecord}, era)...)
	return reply, nil
}

// newHeartbeat returns this host's current heartbeat. The caller must not hold mu.
func (m *Membership) newHeartbeat() Heartbeat {
	ownWaits, loads, ready, watches := m.queueWaits(), m.engineLoads(), m.Ready(), m.shouldWatchStore()
	work := m.engineWork()
	cutOff := m.cutOff()
	now := m.clock.Now()
	head := m.catalogHead(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	waits := m.freshWaits(now)
	for shard, w := range ownWaits {
		waits[shard] = AgedWaits{Waits: w}
	}
	revision := m.mirror.Revision()
	era := revision.Era()
	return Heartbeat{
		Host: m.settings.Host, Incarnation: m.incarnation, Ready: ready,
		Era: era, Revision: bareRevision(revision, era), Endpoints: bareClaim(m.knowledge.Claim(now), era),
		Catalog: head, Loads: loads, Work: work, Waits: waits, Down: m.downReports(now), CutOff: m.cutOffReports(now, cutOff), StoreAway: watches && !m.storeUp && m.storeFailedAt > 0,
		Suspects: m.quarantine.Reports(now), Limits: m.limits.Reports(now),
	}
}

// receiveHeartbeat records a heartbeat. It merges the sender's reports on other hosts
// and shards even if the sender is not registered.
func (m *Membership) receiveHeartbeat(hb Heartbeat) {
	// Another view may be published meanwhile.
	hosts := m.View().Hosts
	if i := slices.IndexFunc(hosts, func(h fleet.Host) bool { return h.Incarnation == hb.Incarnation }); i >= 0 {
		m.learnCatalog(hb.Catalog, hosts[i].Peers)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.quarantine.Merge(now, hb.Suspects)
	m.limits.Merge(now, hb.Limits)
	m.mergeReports(now, hb)
	if hb.StoreAway {
		m.peerOutageAt = now
	}
	p := m.peers[hb.Incarnation]
	if p == nil {
		return
	}
	if p.receivedAt == 0 || now.Sub(p.receivedAt) >= livenessTimeout {
		m.log.Info().Str("Host", string(hb.Host)).Bool("Ready", hb.Ready).Msg("receiving heartbeats from host")
	}
	h := fleet.Host{Incarnation: hb.Incarnation}
	wasAvailable := m.available(now, h)
	p.Heartbeat, p.receivedAt = hb, now
	if m.available(now, h) != wasAvailable {
		m.dropRanking()
	}
}

// setMonitored stores the hosts that this host sends heartbeats to. It restarts
// firstHeartbeatGrace for new ones that have been silent.
func (m *Membership) setMonitored(hosts []fleet.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	monitored := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		monitored[h.Incarnation] = true
		if p := m.peers[h.Incarnation]; p != nil && !m.monitored[h.Incarnation] && now.Sub(p.receivedAt) >= livenessTimeout {
			// This host has not sent a heartbeat to h yet, so the grace starts again.
			p.receivedAt, p.graceStart = 0, now
		}
	}
	if !maps.Equal(monitored, m.monitored) {
		m.dropRanking()
	}
	m.monitored = monitored
}

// RunHeartbeats sends heartbeats to the monitored hosts until ctx ends. It sends none
// until EnablePeerCalls has been called.
func (m *Membership) RunHeartbeats(ctx context.Context) {
	m.runCtx.Store(&ctx)
	for m.awaitNextHeartbeat(ctx) {
		m.keepKnowledgeYoung()
		d := m.dialers.Load()
		if d == nil {
			continue
		}
		m.removeOverdueEndpoints()
		m.startCatchUp()
		m.logStale()
		m.storeQuarantine(ctx)
		targets := heartbeatTargets(m.incarnation, m.View().Hosts)
		m.setMonitored(targets)
		for _, h := range targets {
			go m.exchangeHeartbeat(ctx, d.Control, h)
		}
	}
}

// awaitNextHeartbeat waits until the next heartbeats are due: after
// heartbeatInterval, or at once when the host begins to leave. It reports false
// once ctx has ended.
func (m *Membership) awaitNextHeartbeat(ctx context.Context) bool {
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stopAfterFunc := context.AfterFunc(m.leaveCtx, cancel)
	defer stopAfterFunc()
	if m.leaveCtx.Err() != nil && m.leaveAnnounced {
		return m.clock.Sleep(ctx, heartbeatInterval) == nil
	}
	// Sleep fails if the host begins to leave or ctx ends; both are checked below.
	_ = m.clock.Sleep(waitCtx, heartbeatInterval)
	m.leaveAnnounced = m.leaveCtx.Err() != nil
	return ctx.Err() == nil
}

// removeOverdueEndpoints removes the endpoints that did not register again within
// reregisterGrace, and publishes a new view if there were any.
func (m *Membership) removeOverdueEndpoints() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateState(m.clock.Now(), nil, source{by: byTimer})
}

// exchangeHeartbeat sends a heartbeat to h and records the one in the response.
// If h has a later revision of the store, it fetches the missed changes.
func (m *Membership) exchangeHeartbeat(ctx context.Context, d *peer.Dialer, h fleet.Host) {
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout.Duration())
	askedAt := m.clock.Now()
	hb, err := peer.Call[Heartbeat, Heartbeat](callCtx, d, h.Peers, callHeartbeat, m.newHeartbeat())
	timedOut := callCtx.Err() != nil
	cancel()
	if err != nil {
		if timedOut {
			m.knowledge.Unanswered()
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			m.RecordEnded(h)
		}
		m.logMissedHeartbeat(h, err)
		return
	}
	hb = m.checkHeartbeat(hb)
	if hb.Incarnation != h.Incarnation {
		m.RecordEnded(h)
	}
	m.receiveHeartbeat(hb)
	current := m.knowledge.Hear(askedAt, m.clock.Now(), hb.Endpoints)
	if current && hb.Revision <= m.revision() {
		return
	}
	// A host that watches the store will most likely receive the change from the store.
	if m.shouldWatchStore() && m.clock.Sleep(ctx, syncDelay) != nil {
		return
	}
	m.syncFrom(ctx, d, h, hb.Revision)
}

// logMissedHeartbeat logs a failed heartbeat if the host has only just reached
// livenessTimeout, within the time of one heartbeat and its call. Earlier and later
// failures are not logged, so that a dead host is not logged with each heartbeat.
func (m *Membership) logMissedHeartbeat(h fleet.Host, err error) {
	now := m.clock.Now()
	m.mu.Lock()
	p := m.peers[h.Incarnation]
	timedOut := p != nil && p.receivedAt > 0 && now.Sub(p.receivedAt) >= livenessTimeout && now.Sub(p.receivedAt) < livenessTimeout+heartbeatInterval+heartbeatTimeout
	m.mu.Unlock()
	if timedOut {
		m.log.Warn().Str("Host", string(h.ID)).Err(err).Msg("no heartbeat from host")
	}
}

// syncFrom fetches the store changes that h has and this host lacks, unless this
// host has reached the revision target meanwhile. One fetch runs at a time, so that copies
// of the same changes do not share the link.
func (m *Membership) syncFrom(ctx context.Context, d *peer.Dialer, h fleet.Host, target cicadapitch.StoreRevision) {
	if !m.syncing.CompareAndSwap(false, true) {
		return
	}
	defer m.syncing.Store(false)
	ctx, cancel := context.WithTimeout(ctx, syncTimeout.Duration())
	defer cancel()
	m.mu.Lock()
	revision := m.mirror.Revision()
	m.mu.Unlock()
	if revision >= target {
		return
	}
	// A failure is logged; later heartbeats start further fetches.
	_ = m.fetchChanges(ctx, d, h)
}

// fetchChanges fetches the store changes that h has and this host lacks. It logs its error.
func (m *Membership) fetchChanges(ctx context.Context, d *peer.Dialer, h fleet.Host) error {
	start, since := m.clock.Now(), m.revision()
	r, err := peer.Call[SyncRequest, SyncReply](ctx, d, h.Peers, callSync, SyncRequest{
		Era: since.Era(), Since: bareRevision(since, since.Era()), WithoutCatalog: true, TakesListing: true,
	})
	if err != nil {
		m.log.Warn().Str("Host", string(h.ID)).Int64("Since", since.Number()).Int64("TookMs", int64(m.clock.Now().Sub(start))).Err(err).Msg("fetching store changes from a host failed")
		return err
	}
	m.applySync(start, r, source{string(h.ID), bySync})
	return nil
}

// applySync applies the answer of another host to a question that was asked at askedAt. The
// answer of a host that may not know all changes does not make this one complete.
func (m *Membership) applySync(askedAt cicadapitch.Instant, r SyncReply, s source) {
	era := m.eraOf(r.Era)
	records, revision, claim := m.applyCatalogs(fullRecords(r.Records, era), s.from), fullRevision(r.Revision, era), fullClaim(r.Endpoints, era)
	m.mu.Lock()
	now := m.clock.Now()
	m.updateState(now, m.mirror.Merge(now, records, r.Scope, revision), s)
	m.mu.Unlock()
	if r.Scope == fleet.Some {
		return
	}
	m.knowledge.Advance(revision)
	if claim == nil {
		return
	}
	m.knowledge.Advance(claim.Revision)
	m.knowledge.Hear(askedAt, now, claim)
}

// KeepRegistered registers the host in the store and renews its lease until ctx
// ends or the host begins to leave.
func (m *Membership) KeepRegistered(ctx context.Context) {
	value, err := json.Marshal(hostRecord{
		Host: m.settings.Host, Incarnation: m.incarnation, Zone: m.settings.Zone,
		Callers: m.settings.CallerListen, Peers: m.settings.PeerAddress(),
	})
	if err != nil {
		m.log.Error().Err(err).Msg("encoding this host's store entry failed; the host is not registered")
		return
	}
	peersBy := m.clock.Now().Add(leaseRenewInterval)
	for ctx.Err() == nil && !m.leaving.Load() {
		pause := leaseRenewInterval
		if !m.registrable(peersBy) {
			pause = registrablePollInterval
		} else if err := m.renewOrRegister(ctx, value); err != nil {
			m.log.Warn().Err(err).Msg("registering this host in the store or renewing its lease failed; retrying")
			pause = retryMaxDelay
		}
		// Sleep fails only if ctx has ended, which the loop checks.
		_ = m.clock.Sleep(ctx, pause)
	}
}

// registrable reports whether the host can serve callers and, until peersBy, whether it can call
// other hosts. Before that it is of no use to others.
func (m *Membership) registrable(peersBy cicadapitch.Instant) bool {
	return m.View().Catalog != nil && (m.dialers.Load() != nil || m.clock.Now() >= peersBy)
}

// renewOrRegister renews the host's lease. If the host has no lease or the lease has
// expired, it writes the host's entry, value, under a new lease.
func (m *Membership) renewOrRegister(ctx context.Context, value []byte) error {
	m.mu.Lock()
	held := m.lease
	m.mu.Unlock()
	if held.id != 0 {
		err := m.renew(ctx, held)
		if err != nil && !errors.Is(err, platform.ErrNoLease) {
			m.markStoreDown(err)
			return err
		}
		// A watch may wait for long after the store is back.
		m.markStoreUp()
		if err == nil {
			return nil
		}
	}
	if m.leaving.Load() {
		return nil
	}
	lease := hostLease{era: m.store.Era()}
	if held.id != 0 && held.era != lease.era {
		m.restoreSecret(ctx)
	}
	var err error
	lease.id, err = m.store.Grant(ctx, max(leaseTTL, m.settings.Store.MinLease))
	if err != nil {
		return err
	}
	entry := cicadapitch.Write{Key: hostKeyPrefix + m.incarnation, Value: value, Lease: lease.id}
	_, err = m.store.Commit(ctx, nil, []cicadapitch.Write{entry})
	m.mu.Lock()
	leaving := m.leaving.Load()
	if err == nil && !leaving {
		m.lease = lease
	}
	m.mu.Unlock()
	if leaving {
		// Leave did not know the lease.
		return m.endLease(ctx, lease)
	}
	return err
}
