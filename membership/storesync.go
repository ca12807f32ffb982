package membership

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// watchBatchDelay is the pause after a watch response with changes, so that changes
	// in quick succession arrive together. It is much shorter than the time within which
	// a change has to be in force.
	watchBatchDelay cicadapitch.Millis = 150
	// fleetWatchBatchDelay is that of the hosts that watch the whole store for a large fleet.
	fleetWatchBatchDelay cicadapitch.Millis = 300
	// retryMinDelay and retryMaxDelay bound the backoff after failed store calls.
	retryMinDelay cicadapitch.Millis = 100
	retryMaxDelay cicadapitch.Millis = 600
	// reregisterGrace is the time after a store outage that an endpoint whose entry
	// expired during the outage is given to register again.
	reregisterGrace cicadapitch.Millis = 1900
	// outageWindow is how long after a store outage the removal of an entry is taken for
	// an expiry, not for a removal by its writer.
	outageWindow cicadapitch.Millis = 2000
)

// FollowStore keeps the mirror of the store and the view up to date until ctx ends.
func (m *Membership) FollowStore(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.followEndpoints(ctx) })
	defer wg.Wait()
	pause := retryMinDelay
	for ctx.Err() == nil {
		err := m.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil || errors.Is(err, platform.ErrCompacted) || errors.Is(err, errWatchSilent) {
			pause = retryMinDelay
			continue
		}
		m.markStoreDown(err)
		// Sleep fails only if ctx has ended, which the loop checks.
		_ = m.clock.Sleep(ctx, pause)
		pause = min(2*pause, retryMaxDelay)
	}
}

// listAndWatch watches the store until a call fails, after it has listed it unless the changes since the
// last call suffice. While shouldWatchStore is false, it only waits; changes then come with heartbeats,
// through syncFrom. The error is platform.ErrCompacted if the store has to be listed again at
// once, and errWatchSilent if it only has to be asked again.
func (m *Membership) listAndWatch(ctx context.Context) error {
	if m.mustList {
		if err := m.listStore(ctx); err != nil {
			return err
		}
		m.mustList = false
	}
	for {
		if !m.shouldWatchStore() {
			if err := m.clock.Sleep(ctx, heartbeatInterval); err != nil {
				return err
			}
			continue
		}
		revision, askedAt := m.revision(), m.clock.Now()
		events, nextRevision, err := m.watchStore(ctx, revision)
		if err == nil && len(events) == 0 && nextRevision > revision {
			// The revision moved on without an event, so the watch missed changes.
			err = platform.ErrCompacted
		}
		m.mustList = errors.Is(err, platform.ErrCompacted)
		m.watchWasSilent = errors.Is(err, errWatchSilent)
		if err != nil {
			return err
		}
		m.markStoreUp()
		m.announceEndpoints(m.applyChanges(recordsOfEvents(events), nextRevision, storeWatch))
		m.confirmKnowledge(askedAt, nextRevision)
		if len(events) > 0 && m.clock.Sleep(ctx, m.watchPause()) != nil {
			return ctx.Err()
		}
	}
}

// watchStore waits for changes after a revision, or asks for those there are if the last watch was silent. The
// error is errWatchSilent if the call was ended for that.
func (m *Membership) watchStore(ctx context.Context, after cicadapitch.StoreRevision) ([]cicadapitch.WatchEvent, cicadapitch.StoreRevision, error) {
	if m.watchWasSilent {
		return m.store.Poll(ctx, "", after)
	}
	return m.changes(ctx, &m.storeWatch, "", after)
}

// watchPause returns the pause after a watch response with changes. In a large fleet, the entries of
// endpoints have a watch of their own.
func (m *Membership) watchPause() cicadapitch.Millis {
	if m.allWatch() {
		return watchBatchDelay
	}
	return fleetWatchBatchDelay
}

// listStore reads all keys of the store. A host that has just started reads a listing that may be old,
// and then what has changed since: where many hosts start together, that spares the store most of the
// work.
func (m *Membership) listStore(ctx context.Context) error {
	if m.revision() == 0 && m.listStale(ctx) {
		return nil
	}
	askedAt := m.clock.Now()
	pairs, revision, err := m.store.List(ctx, "")
	if err != nil {
		return err
	}
	m.markStoreUp()
	m.announceEndpoints(m.applyListing(recordsOfPairs(pairs), revision))
	m.confirmKnowledge(askedAt, revision)
	return nil
}

// listStale reads a listing that may be old and the changes since, and reports whether it has both. Then
// this host knows all that the store had when it asked for the changes.
func (m *Membership) listStale(ctx context.Context) bool {
	pairs, listedAt, err := m.store.ListStale(ctx, "")
	if err != nil || listedAt == 0 {
		return false
	}
	askedAt := m.clock.Now()
	events, revision, err := m.store.Poll(ctx, "", listedAt)
	if err != nil || revision < listedAt || len(events) == 0 && revision > listedAt {
		return false
	}
	m.markStoreUp()
	m.applyListing(mergeChanges(recordsOfPairs(pairs), recordsOfEvents(events)), revision)
	m.confirmKnowledge(askedAt, revision)
	return true
}

// mergeChanges returns a listing of keys with later changes of them applied.
func mergeChanges(listing, changes []fleet.Record) []fleet.Record {
	latest := map[string]fleet.Record{}
	for _, r := range slices.Concat(listing, changes) {
		if known, ok := latest[r.Key]; !ok || r.Revision > known.Revision {
			latest[r.Key] = r
		}
	}
	return lo.Filter(lo.Values(latest), func(r fleet.Record, _ int) bool { return !r.Removed })
}

func (m *Membership) revision() cicadapitch.StoreRevision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mirror.Revision()
}

func recordsOfPairs(pairs []cicadapitch.KeyValue) []fleet.Record {
	return lo.Map(pairs, func(p cicadapitch.KeyValue, _ int) fleet.Record {
		return fleet.Record{Key: p.Key, Value: p.Value, Revision: p.Revision}
	})
}

func recordsOfEvents(events []cicadapitch.WatchEvent) []fleet.Record {
	return lo.Map(events, func(e cicadapitch.WatchEvent, _ int) fleet.Record {
		return fleet.Record{Key: e.Pair.Key, Value: e.Pair.Value, Revision: e.Pair.Revision, Removed: e.Deleted}
	})
}

// markStoreDown records a failed store call.
func (m *Membership) markStoreDown(err error) {
	m.recordStoreFailure(err)
	m.mu.Lock()
	begins := m.storeUp || m.storeDownSince == 0
	m.storeUp, m.storeFailedAt = false, m.clock.Now()
	if begins {
		m.storeDownSince = m.storeFailedAt
	}
	m.mu.Unlock()
	if begins {
		m.log.Warn().Err(err).Msg("store unreachable")
	}
}

// markStoreUp records a successful store call.
func (m *Membership) markStoreUp() {
	m.recordStoreAnswer()
	m.mu.Lock()
	wasUp := m.storeUp
	if !wasUp {
		m.storeUp, m.storeRecoveredAt = true, m.clock.Now()
		m.outageWasOwn = m.outageIsOwn(m.storeRecoveredAt)
	}
	revision := m.mirror.Revision()
	m.mu.Unlock()
	if !wasUp {
		m.log.Info().Int64("Revision", revision.Number()).Msg("store reachable")
	}
}

// applyListing merges a full listing of the store, taken at the given revision. It returns the
// records that changed.
func (m *Membership) applyListing(list []fleet.Record, revision cicadapitch.StoreRevision) []fleet.Change {
	list = m.applyCatalogs(list, storeListing.from)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	changed := m.mirror.Replace(now, "", list, revision)
	m.updateState(now, changed, storeListing)
	return changed
}

// applyChanges merges changes that are complete up to the given revision. It returns the records
// that changed.
func (m *Membership) applyChanges(changes []fleet.Record, revision cicadapitch.StoreRevision, s source) []fleet.Change {
	changes = m.applyCatalogs(changes, s.from)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	changed := m.mirror.Apply(now, changes, revision)
	m.updateState(now, changed, s)
	return changed
}

// updateState applies changed records and overdue removals to the state, and publishes
// a new view if the state changed. The caller holds mu.
func (m *Membership) updateState(now cicadapitch.Instant, changed []fleet.Change, s source) {
	m.noteEra(now, s)
	removed := m.removeOverdue(now)
	if len(changed) == 0 && !removed {
		return
	}
	for _, c := range changed {
		m.applyChange(now, c, s)
	}
	m.publish(now)
}

// applyChange applies one change to the state, depending on its key. The caller
// holds mu.
func (m *Membership) applyChange(now cicadapitch.Instant, c fleet.Change, s source) {
	r := c.Record
	if r.Removed {
		if !m.postponeRemoval(now, c, s) {
			m.removeKey(r, s)
		}
	} else {
		delete(m.pendingRemovals, r.Key)
		if z, ok := platform.EvacuatedZoneFromKey(r.Key); ok {
			m.state.SetEvacuated(z, true)
			m.logZone(z, r, s)
		}
		if id, ok := platform.EndpointIDFromKey(r.Key); ok {
			m.applyEndpoint(now, id, c, s)
		}
		if isHostKey(r.Key) {
			m.applyHost(c)
		}
		if service, ok := platform.RolloutServiceFromKey(r.Key); ok {
			m.applyRolloutOrder(now, service, c, s)
		}
	}
	if strings.HasPrefix(r.Key, quarantineKeyPrefix) {
		m.applyQuarantine(now, r)
	}
	if strings.HasPrefix(r.Key, originKeyPrefix) {
		m.applyOrigins(now, r)
	}
	if strings.HasPrefix(r.Key, versionKeyPrefix) {
		m.applyVersions(now, r)
	}
	m.applyRolloutProgress(r)
	m.applyRolloutStatus(r)
}

// removeKey applies the removal of a key. The caller holds mu.
func (m *Membership) removeKey(r fleet.Record, s source) {
	delete(m.pendingRemovals, r.Key)
	if z, ok := platform.EvacuatedZoneFromKey(r.Key); ok {
		m.state.SetEvacuated(z, false)
		m.logZone(z, r, s)
	}
	if id, ok := platform.EndpointIDFromKey(r.Key); ok {
		m.state.RemoveEndpoint(id)
		m.log.Info().Str("Endpoint", string(id)).Int64("Revision", r.Revision.Number()).Str("From", s.from).Stringer("By", s.by).Msg("endpoint gone")
	}
	if service, ok := platform.RolloutServiceFromKey(r.Key); ok {
		m.removeRolloutOrder(service, r, s)
	}
	if isHostKey(r.Key) {
		m.state.RemoveHost(r.Key)
		m.log.Info().Str("Key", r.Key).Int64("Revision", r.Revision.Number()).Msg("host's store entry removed")
	}
}

// applyEndpoint applies an endpoint's entry. The caller holds mu.
func (m *Membership) applyEndpoint(now cicadapitch.Instant, id cicadapitch.EndpointID, c fleet.Change, s source) {
	if outdatedByCopy(id, c) {
		m.log.Info().Str("Endpoint", string(id)).Int64("Revision", c.Revision.Number()).Int64("Era", int64(c.Revision.Era())).
			Int64("Before", c.Before.Revision.Number()).Msg("endpoint's entry of an older copy ignored until it is written again")
		return
	}
	e, err := platform.DecodeEndpoint(id, c.Value, c.Revision)
	if err != nil {
		m.state.RemoveEndpoint(id)
		m.log.Warn().Str("Endpoint", string(id)).Err(err).Msg("invalid endpoint entry; endpoint not used")
		return
	}
	m.state.SetEndpoint(now, e)
	m.log.Info().Str("Endpoint", string(id)).Str("Address", e.Address).Str("Service", string(e.Service)).
		Str("Version", string(e.Version)).Bool("Leaving", e.Leaving).Int64("ColdMs", int64(e.ColdFor)).
		Int64("Revision", c.Revision.Number()).Str("From", s.from).Stringer("By", s.by).Msg("endpoint")
}

func (m *Membership) logZone(z cicadapitch.ZoneID, r fleet.Record, s source) {
	m.log.Info().Str("Zone", string(z)).Bool("Out", !r.Removed).
		Int64("Revision", r.Revision.Number()).Str("From", s.from).Stringer("By", s.by).Msg("zone")
}

// entriesMayHaveExpired reports whether a missing entry may have expired because its
// writer could not reach the store. An entry may have expired during a store outage
// and for outageWindow after it, whether this host noticed the outage or another host
// reported it. While any host reaches the store there is no outage. The caller holds mu.
func (m *Membership) entriesMayHaveExpired(now cicadapitch.Instant) bool {
	if m.peerOutageAt > 0 && now.Sub(m.peerOutageAt) < outageWindow && m.knowledge.Outage(now, outageWindow) {
		return true
	}
	switch {
	case m.storeFailedAt == 0:
		return false
	case m.storeUp:
		return now.Sub(m.storeRecoveredAt) < outageWindow && !m.outageWasOwn
	}
	return !m.outageIsOwn(now)
}

// outageIsOwn reports whether another host has reached the store since calls of this one began to
// fail. The caller holds mu.
func (m *Membership) outageIsOwn(now cicadapitch.Instant) bool {
	return m.knowledge.HeardOf() > m.storeDownSince && !m.knowledge.Outage(now, outageWindow)
}

func isHostKey(key string) bool { return strings.HasPrefix(key, hostKeyPrefix) }

// applyHost applies a host's entry. The caller holds mu.
func (m *Membership) applyHost(r fleet.Change) {
	var h hostRecord
	err := platform.DecodeEntry(r.Value, &h)
	if err == nil && h.Incarnation == "" {
		err = errors.New("it has no incarnation")
	}
	if err = errors.Join(err, platform.CheckAddress(h.Peers), platform.CheckAddress(h.Callers)); err != nil {
		m.state.RemoveHost(r.Key)
		m.log.Warn().Str("Key", r.Key).Err(err).Msg("invalid store entry of a host ignored")
		return
	}
	if r.Restored() && r.Before.Removed && m.peers[h.Incarnation] == nil {
		// It has most likely ended since the copy, so that it is available only once it is heard of.
		m.peers[h.Incarnation] = &peerState{}
	}
	m.state.SetHost(r.Key, fleet.Host{ID: h.Host, Incarnation: h.Incarnation, Zone: h.Zone, Callers: h.Callers, Peers: h.Peers, Revision: r.Revision})
	m.log.Info().Str("Host", string(h.Host)).Str("Incarnation", h.Incarnation).Int64("Revision", r.Revision.Number()).Msg("host")
}
