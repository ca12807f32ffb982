package membership

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/quarantine"
)

const (
	// quarantineKeyPrefix is the prefix of the store keys of quarantined parts, which
	// outlive the hosts that know them.
	quarantineKeyPrefix = "quarantine/"
	// maxQuarantineWrites bounds the keys that are written at once.
	maxQuarantineWrites = 32
	// quarantineWriteTimeout bounds one write.
	quarantineWriteTimeout = 2 * cicadapitch.Second
)

// quarantineKey returns the store's key of a quarantined part.
func quarantineKey(part string) string {
	return fmt.Sprintf("%s%016x", quarantineKeyPrefix, xxh3.HashString(part))
}

// applyQuarantine applies a change of a quarantined part's key. The removal of a key
// changes nothing: what a host knows goes before the store. The caller holds mu.
func (m *Membership) applyQuarantine(now cicadapitch.Instant, r fleet.Record) {
	delete(m.storedQuarantine, r.Key)
	if r.Removed {
		return
	}
	var q quarantineRecord
	if err := platform.DecodeEntry(r.Value, &q); err != nil || q.Part == "" {
		m.log.Warn().Str("Key", r.Key).Err(err).Msg("invalid store entry of a quarantined part ignored")
		return
	}
	m.storedQuarantine[r.Key] = q.Part
	m.quarantine.Merge(now, []quarantine.Report{{
		Part: q.Part, AnsweredAgo: quarantine.Never, QuarantinedAgo: max(now.Sub(q.QuarantinedAt), 0),
	}})
}

// storeQuarantine writes the quarantined parts that this host owns and the store lacks,
// and removes those whose quarantine has ended. It does so in the background, one write at
// a time, while the store is reachable.
func (m *Membership) storeQuarantine(ctx context.Context) {
	quarantined := m.quarantine.Quarantined(m.clock.Now())
	m.mu.Lock()
	idle := len(quarantined) == 0 && len(m.storedQuarantine) == 0 || !m.storeUp || m.storingQuarantine
	m.mu.Unlock()
	if idle {
		return
	}
	writes := m.quarantineWrites(quarantined)
	if len(writes) == 0 {
		return
	}
	m.mu.Lock()
	m.storingQuarantine = true
	m.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, quarantineWriteTimeout.Duration())
		defer cancel()
		revision, err := m.store.Commit(ctx, nil, writes)
		m.log.Info().Int("Keys", len(writes)).Int64("Revision", revision.Number()).Err(err).Msg("quarantine stored")
		m.mu.Lock()
		defer m.mu.Unlock()
		m.storingQuarantine = false
	}()
}

// quarantineWrites returns the writes that make the store's keys of the parts that this
// host owns match the given ones. The caller must not hold mu.
func (m *Membership) quarantineWrites(quarantined map[string]cicadapitch.Instant) []cicadapitch.Write {
	m.mu.Lock()
	var writes []cicadapitch.Write
	for part, at := range quarantined {
		key := quarantineKey(part)
		if _, ok := m.storedQuarantine[key]; ok {
			continue
		}
		value, err := json.Marshal(quarantineRecord{part, at})
		if err != nil {
			m.log.Error().Str("Part", part).Err(err).Msg("encoding a quarantined part failed; it is not stored")
			continue
		}
		writes = append(writes, cicadapitch.Write{Key: key, Value: value})
	}
	for key, part := range m.storedQuarantine {
		if _, ok := quarantined[part]; !ok {
			writes = append(writes, cicadapitch.Write{Key: key, Delete: true})
		}
	}
	m.mu.Unlock()
	var own []cicadapitch.Write
	for _, w := range writes {
		if len(own) < maxQuarantineWrites && m.IsSelf(m.OwnersOf(w.Key)[0]) {
			own = append(own, w)
		}
	}
	return own
}
