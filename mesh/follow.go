package mesh

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
	// watchPause gathers changes that come together into one call. It is short
	// against the time in which a change has to be in force.
	watchPause cicadapitch.Millis = 150
	// retryFirst and retryMost bound the pause after a failed call to the store.
	retryFirst cicadapitch.Millis = 100
	retryMost  cicadapitch.Millis = 600
	// lapseGrace is how long an endpoint whose entry lapsed while the store was
	// away may take to write it again.
	lapseGrace cicadapitch.Millis = 1900
	// lapseWindow is how long before and after a failure of the store a
	// vanished entry may have lapsed rather than been removed.
	lapseWindow cicadapitch.Millis = 2000
)

// Follow keeps the copy of the store up to date until ctx ends.
func (m *Mesh) Follow(ctx context.Context) {
	pause := retryFirst
	for ctx.Err() == nil {
		err := m.followOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil || errors.Is(err, platform.ErrCompacted) {
			pause = retryFirst
			continue
		}
		m.storeFailed(err)
		// The only error is that ctx has ended, which the loop sees.
		_ = m.clock.Sleep(ctx, pause)
		pause = min(2*pause, retryMost)
	}
}

// followOnce lists the store and then watches it until a call fails. Hosts that
// need not watch take changes from those that do.
func (m *Mesh) followOnce(ctx context.Context) error {
	list, at, err := m.store.List(ctx, "")
	if err != nil {
		return err
	}
	m.storeAnswered()
	m.replace(pairRecords(list), at)
	for {
		if !m.watchesStore() {
			if err := m.clock.Sleep(ctx, beatInterval); err != nil {
				return err
			}
			continue
		}
		at = m.revision()
		events, next, err := m.store.Changes(ctx, "", at)
		if err != nil {
			return err
		}
		m.storeAnswered()
		if len(events) == 0 && next > at {
			// Changes were made that the watch was not told of.
			return platform.ErrCompacted
		}
		m.apply(eventRecords(events), next, "store")
		if len(events) > 0 && m.clock.Sleep(ctx, watchPause) != nil {
			return ctx.Err()
		}
	}
}

func (m *Mesh) revision() cicadapitch.StoreRevision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mirror.At()
}

func pairRecords(pairs []cicadapitch.Pair) []fleet.Record {
	return lo.Map(pairs, func(p cicadapitch.Pair, _ int) fleet.Record {
		return fleet.Record{Key: p.Key, Value: p.Value, Revision: p.Revision}
	})
}

func eventRecords(events []cicadapitch.WatchEvent) []fleet.Record {
	return lo.Map(events, func(e cicadapitch.WatchEvent, _ int) fleet.Record {
		return fleet.Record{Key: e.Pair.Key, Value: e.Pair.Value, Revision: e.Pair.Revision, Removed: e.Deleted}
	})
}

func (m *Mesh) storeFailed(err error) {
	m.mu.Lock()
	was := m.storeUp
	m.storeUp, m.storeLost = false, m.clock.Now()
	m.mu.Unlock()
	if was {
		m.log.Warn().Err(err).Msg("store lost")
	}
}

func (m *Mesh) storeAnswered() {
	m.mu.Lock()
	was := m.storeUp
	if !was {
		m.storeUp, m.storeBack = true, m.clock.Now()
	}
	at := m.mirror.At()
	m.mu.Unlock()
	if !was {
		m.log.Info().Int64("Revision", int64(at)).Msg("store reached")
	}
}

func (m *Mesh) replace(list []fleet.Record, at cicadapitch.StoreRevision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.take(now, m.mirror.Replace(now, "", list, at), "store")
}

func (m *Mesh) apply(list []fleet.Record, at cicadapitch.StoreRevision, from string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.take(now, m.mirror.Apply(now, list, at), from)
}

// take turns changed records into beliefs. The caller holds mu.
func (m *Mesh) take(now cicadapitch.Instant, changed []fleet.Record, from string) {
	due := m.settleLapsed(now)
	if len(changed) == 0 && !due {
		return
	}
	for _, r := range changed {
		m.takeOne(now, r, from)
	}
	m.publish(now)
}

func (m *Mesh) takeOne(now cicadapitch.Instant, r fleet.Record, from string) {
	if platform.IsCatalogKey(r.Key) {
		m.takeCatalog(r, from)
		return
	}
	if z, ok := platform.EvacuatedZoneFromKey(r.Key); ok {
		m.state.Evacuate(z, !r.Removed)
		m.log.Info().Str("Zone", string(z)).Bool("Out", !r.Removed).
			Int64("Revision", int64(r.Revision)).Str("From", from).Msg("zone")
		return
	}
	if id, ok := platform.EndpointIDFromKey(r.Key); ok {
		m.takeEndpoint(now, id, r, from)
		return
	}
	if strings.HasPrefix(r.Key, hostPrefix) {
		m.takeHost(r)
	}
}

func (m *Mesh) takeCatalog(r fleet.Record, from string) {
	if r.Removed {
		return
	}
	c, err := platform.DecodeCatalog(r.Value)
	if err != nil {
		m.log.Error().Err(err).Int64("Revision", int64(r.Revision)).Msg("configuration cannot be read and is left out")
		return
	}
	ok := m.state.SetCatalog(c)
	m.log.Info().Int64("Version", c.Version).Int64("Revision", int64(r.Revision)).
		Str("From", from).Bool("InForce", ok).Msg("configuration")
}

func (m *Mesh) takeEndpoint(now cicadapitch.Instant, id cicadapitch.EndpointID, r fleet.Record, from string) {
	if r.Removed {
		if m.mayHaveLapsed(now) {
			m.lapsed[id] = max(m.storeBack, m.awayHeard, now-cicadapitch.Instant(lapseGrace)).Add(lapseGrace)
			return
		}
		m.state.RemoveEndpoint(id)
		m.log.Info().Str("Endpoint", string(id)).Int64("Revision", int64(r.Revision)).Str("From", from).Msg("endpoint gone")
		return
	}
	delete(m.lapsed, id)
	e, err := platform.DecodeEndpoint(id, r.Value, r.Revision)
	if err != nil {
		m.state.RemoveEndpoint(id)
		m.log.Warn().Str("Endpoint", string(id)).Err(err).Msg("entry is not an endpoint's own and is left out")
		return
	}
	m.state.SetEndpoint(now, e)
	m.log.Info().Str("Endpoint", string(id)).Str("Address", e.Address).Str("Service", string(e.Service)).
		Bool("Leaving", e.Leaving).Int64("ColdMs", int64(e.ColdFor)).
		Int64("Revision", int64(r.Revision)).Str("From", from).Msg("endpoint")
}

// mayHaveLapsed reports whether a vanished entry may have lapsed because its
// writer could not reach the store.
func (m *Mesh) mayHaveLapsed(now cicadapitch.Instant) bool {
	if m.awayHeard > 0 && now.Sub(m.awayHeard) < lapseWindow {
		return true
	}
	return m.storeLost > 0 && (!m.storeUp || now.Sub(m.storeBack) < lapseWindow)
}

// settleLapsed removes endpoints that did not come back. The caller holds mu.
func (m *Mesh) settleLapsed(now cicadapitch.Instant) bool {
	changed := false
	for id, due := range m.lapsed {
		if now < due || !m.storeUp {
			continue
		}
		delete(m.lapsed, id)
		m.state.RemoveEndpoint(id)
		changed = true
		m.log.Info().Str("Endpoint", string(id)).Msg("endpoint did not come back after the store did")
	}
	return changed
}

func (m *Mesh) takeHost(r fleet.Record) {
	if r.Removed {
		m.state.RemoveHost(r.Key)
		m.log.Info().Str("Key", r.Key).Int64("Revision", int64(r.Revision)).Msg("host gone")
		return
	}
	var h hostRecord
	if err := json.Unmarshal(r.Value, &h); err != nil {
		m.log.Warn().Str("Key", r.Key).Err(err).Msg("entry is not a host's own and is left out")
		return
	}
	m.state.SetHost(r.Key, fleet.Host{ID: h.Host, Incarnation: h.Incarnation, Zone: h.Zone, Callers: h.Callers, Peers: h.Peers})
	m.log.Info().Str("Host", string(h.Host)).Str("Incarnation", h.Incarnation).Int64("Revision", int64(r.Revision)).Msg("host")
}
