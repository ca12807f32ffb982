package membership

import (
	"context"
	"encoding/json"
	"errors"
	"strings"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// watchBatchDelay is the pause between two watch calls after a change, so that
	// changes made in quick succession come in one response. It is short against
	// the time in which a change has to be in force.
	watchBatchDelay cicadapitch.Millis = 150
	// retryMinDelay and retryMaxDelay bound the backoff after failed store calls.
	retryMinDelay cicadapitch.Millis = 100
	retryMaxDelay cicadapitch.Millis = 600
	// reregisterGrace is how long an endpoint whose entry expired during an outage
	// of the store has to register again after the outage.
	reregisterGrace cicadapitch.Millis = 1900
	// outageWindow is how long after an outage of the store a missing entry may
	// have expired rather than been removed by its writer.
	outageWindow cicadapitch.Millis = 2000
)

// FollowStore keeps the mirror of the store and the view up to date until ctx ends.
func (m *Membership) FollowStore(ctx context.Context) {
	pause := retryMinDelay
	for ctx.Err() == nil {
		err := m.listAndWatch(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil || errors.Is(err, platform.ErrCompacted) {
			pause = retryMinDelay
			continue
		}
		m.markStoreDown(err)
		// Sleep fails only if ctx has ended, which the loop checks.
		_ = m.clock.Sleep(ctx, pause)
		pause = min(2*pause, retryMaxDelay)
	}
}

// listAndWatch lists the store and then watches it until a call fails. While this
// host need not watch, it takes changes from other hosts. The error is
// platform.ErrCompacted if the store has to be listed again at once.
func (m *Membership) listAndWatch(ctx context.Context) error {
	pairs, revision, err := m.store.List(ctx, "")
	if err != nil {
		return err
	}
	m.markStoreUp()
	m.applyListing(recordsOfPairs(pairs), revision)
	for {
		if !m.shouldWatchStore() {
			if err := m.clock.Sleep(ctx, heartbeatInterval); err != nil {
				return err
			}
			continue
		}
		revision = m.revision()
		events, nextRevision, err := m.store.Changes(ctx, "", revision)
		if err != nil {
			return err
		}
		m.markStoreUp()
		if len(events) == 0 && nextRevision > revision {
			// The revision moved on without an event, so the watch missed changes.
			return platform.ErrCompacted
		}
		m.applyChanges(recordsOfEvents(events), nextRevision, "store")
		if len(events) > 0 && m.clock.Sleep(ctx, watchBatchDelay) != nil {
			return ctx.Err()
		}
	}
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
	m.mu.Lock()
	wasUp := m.storeUp
	m.storeUp, m.storeFailedAt = false, m.clock.Now()
	m.mu.Unlock()
	if wasUp {
		m.log.Warn().Err(err).Msg("store unreachable")
	}
}

// markStoreUp records a successful store call.
func (m *Membership) markStoreUp() {
	m.mu.Lock()
	wasUp := m.storeUp
	if !wasUp {
		m.storeUp, m.storeRecoveredAt = true, m.clock.Now()
	}
	revision := m.mirror.Revision()
	m.mu.Unlock()
	if !wasUp {
		m.log.Info().Int64("Revision", int64(revision)).Msg("store reachable")
	}
}

// applyListing merges a full listing of the store, taken at the given revision.
func (m *Membership) applyListing(list []fleet.Record, revision cicadapitch.StoreRevision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.updateState(now, m.mirror.Replace(now, "", list, revision), "store")
}

// applyChanges merges changes that are complete up to the given revision. from
// names their source in the log.
func (m *Membership) applyChanges(changes []fleet.Record, revision cicadapitch.StoreRevision, from string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.updateState(now, m.mirror.Apply(now, changes, revision), from)
}

// updateState applies changed records and due removals to the state, and publishes
// a new view if there were any. The caller holds mu.
func (m *Membership) updateState(now cicadapitch.Instant, changed []fleet.Record, from string) {
	removed := m.removeExpired(now)
	if len(changed) == 0 && !removed {
		return
	}
	for _, r := range changed {
		m.applyRecord(now, r, from)
	}
	m.publish(now)
}

// applyRecord applies one record to the state, depending on its key. The caller
// holds mu.
func (m *Membership) applyRecord(now cicadapitch.Instant, r fleet.Record, from string) {
	if platform.IsCatalogKey(r.Key) {
		m.applyCatalog(r, from)
		return
	}
	if z, ok := platform.EvacuatedZoneFromKey(r.Key); ok {
		m.state.SetEvacuated(z, !r.Removed)
		m.log.Info().Str("Zone", string(z)).Bool("Out", !r.Removed).
			Int64("Revision", int64(r.Revision)).Str("From", from).Msg("zone")
		return
	}
	if id, ok := platform.EndpointIDFromKey(r.Key); ok {
		m.applyEndpoint(now, id, r, from)
		return
	}
	if strings.HasPrefix(r.Key, hostKeyPrefix) {
		m.applyHost(r)
	}
}

// applyCatalog puts a configuration in force unless a later one already is. The
// removal of the configuration changes nothing. The caller holds mu.
func (m *Membership) applyCatalog(r fleet.Record, from string) {
	if r.Removed {
		return
	}
	c, err := platform.DecodeCatalog(r.Value)
	if err != nil {
		m.log.Error().Err(err).Int64("Revision", int64(r.Revision)).Msg("invalid configuration ignored")
		return
	}
	ok := m.state.SetCatalog(c)
	m.log.Info().Int64("Version", c.Version).Int64("Revision", int64(r.Revision)).
		Str("From", from).Bool("InForce", ok).Msg("configuration")
}

// applyEndpoint applies a change of an endpoint's entry. If the entry may have
// expired only because the store was unreachable, the endpoint stays until
// reregisterGrace is over. The caller holds mu.
func (m *Membership) applyEndpoint(now cicadapitch.Instant, id cicadapitch.EndpointID, r fleet.Record, from string) {
	if r.Removed {
		if m.mayHaveExpired(now) {
			m.pendingRemovals[id] = max(m.storeRecoveredAt, m.peerOutageAt, now-cicadapitch.Instant(reregisterGrace)).Add(reregisterGrace)
			return
		}
		m.state.RemoveEndpoint(id)
		m.log.Info().Str("Endpoint", string(id)).Int64("Revision", int64(r.Revision)).Str("From", from).Msg("endpoint gone")
		return
	}
	delete(m.pendingRemovals, id)
	e, err := platform.DecodeEndpoint(id, r.Value, r.Revision)
	if err != nil {
		m.state.RemoveEndpoint(id)
		m.log.Warn().Str("Endpoint", string(id)).Err(err).Msg("invalid endpoint entry; endpoint not used")
		return
	}
	m.state.SetEndpoint(now, e)
	m.log.Info().Str("Endpoint", string(id)).Str("Address", e.Address).Str("Service", string(e.Service)).
		Bool("Leaving", e.Leaving).Int64("ColdMs", int64(e.ColdFor)).
		Int64("Revision", int64(r.Revision)).Str("From", from).Msg("endpoint")
}

// mayHaveExpired reports whether an entry that is missing now may have expired
// because its writer could not reach the store: during and shortly after an outage
// that this host saw or another one reported. The caller holds mu.
func (m *Membership) mayHaveExpired(now cicadapitch.Instant) bool {
	if m.peerOutageAt > 0 && now.Sub(m.peerOutageAt) < outageWindow {
		return true
	}
	return m.storeFailedAt > 0 && (!m.storeUp || now.Sub(m.storeRecoveredAt) < outageWindow)
}

// removeExpired removes the endpoints that did not register again in time, and
// reports whether there were any. It removes none while the store is unreachable.
// The caller holds mu.
func (m *Membership) removeExpired(now cicadapitch.Instant) bool {
	removed := false
	for id, due := range m.pendingRemovals {
		if now < due || !m.storeUp {
			continue
		}
		delete(m.pendingRemovals, id)
		m.state.RemoveEndpoint(id)
		removed = true
		m.log.Info().Str("Endpoint", string(id)).Msg("endpoint did not come back after the store did")
	}
	return removed
}

func (m *Membership) applyHost(r fleet.Record) {
	if r.Removed {
		m.state.RemoveHost(r.Key)
		m.log.Info().Str("Key", r.Key).Int64("Revision", int64(r.Revision)).Msg("host removed")
		return
	}
	var h hostRecord
	if err := json.Unmarshal(r.Value, &h); err != nil {
		m.log.Warn().Str("Key", r.Key).Err(err).Msg("invalid host entry ignored")
		return
	}
	m.state.SetHost(r.Key, fleet.Host{ID: h.Host, Incarnation: h.Incarnation, Zone: h.Zone, Callers: h.Callers, Peers: h.Peers})
	m.log.Info().Str("Host", string(h.Host)).Str("Incarnation", h.Incarnation).Int64("Revision", int64(r.Revision)).Msg("host")
}
