package membership

import (
	"context"
	"errors"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/platform"
)

// Revisions cross hosts as their numbers, which is all that earlier builds know, beside the era of all
// revisions in the message. The functions below convert them.

// bareRevision returns the number of a revision for a message about an era, or 0 if it is of another era.
func bareRevision(r cicadapitch.StoreRevision, e cicadapitch.StoreEra) cicadapitch.StoreRevision {
	if r.Era() != e {
		return 0
	}
	return cicadapitch.StoreRevision(r.Number())
}

// bareRecords returns the records of an era for a message about it.
func bareRecords(records []fleet.Record, e cicadapitch.StoreEra) []fleet.Record {
	return lo.FilterMap(records, func(r fleet.Record, _ int) (fleet.Record, bool) {
		ofEra := r.Revision.Era() == e
		r.Revision = bareRevision(r.Revision, e)
		return r, ofEra
	})
}

// bareClaim returns a claim for a message about an era, or nil if it is of another one.
func bareClaim(c *fleet.Claim, e cicadapitch.StoreEra) *fleet.Claim {
	if c == nil || c.Revision != 0 && c.Revision.Era() != e {
		return nil
	}
	return &fleet.Claim{Revision: bareRevision(c.Revision, e), Age: c.Age}
}

func fullRevision(bare cicadapitch.StoreRevision, e cicadapitch.StoreEra) cicadapitch.StoreRevision {
	return cicadapitch.NewStoreRevision(e, bare.Number())
}

func fullRecords(bare []fleet.Record, e cicadapitch.StoreEra) []fleet.Record {
	return lo.Map(bare, func(r fleet.Record, _ int) fleet.Record {
		r.Revision = fullRevision(r.Revision, e)
		return r
	})
}

func fullClaim(bare *fleet.Claim, e cicadapitch.StoreEra) *fleet.Claim {
	if bare == nil {
		return nil
	}
	return &fleet.Claim{Revision: fullRevision(bare.Revision, e), Age: bare.Age}
}

// eraOf returns the era that a message names. Hosts of earlier builds name none and notice none: while this
// host has known one era only, it is theirs too, and from then on what they say may be of the one before.
func (m *Membership) eraOf(named cicadapitch.StoreEra) cicadapitch.StoreEra {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.mirror.Revision().Era()
	switch {
	case named == 0 && own == m.firstEra:
		return own
	case !isEra(named):
		return 0
	}
	return named
}

// noteEra logs that the store has come back from an older copy. The caller holds mu.
func (m *Membership) noteEra(s source) {
	revision := m.mirror.Revision()
	era := revision.Era()
	switch {
	case revision == 0 || era == m.loggedEra:
		return
	case m.loggedEra == 0 && m.firstEra == 0:
		m.firstEra = era
	default:
		m.log.Warn().Int64("Era", int64(era)).Int64("Before", int64(m.loggedEra)).Int64("Revision", revision.Number()).
			Str("From", s.from).Stringer("By", s.by).Msg("the store has come back from an older copy")
		m.metrics.Counter("StoreEras").Inc(1)
	}
	m.loggedEra = era
}

// pendingRemoval is the removal of a key that its writer may write again.
type pendingRemoval struct {
	record fleet.Record
	from   source
	due    cicadapitch.Instant
	// restored is true if the store came back from a copy that lacks the key, and false if the key may have
	// expired in an outage.
	restored bool
}

// postponeRemoval reports whether a removed key stays for now, since its writer may have been unable to keep it:
// the store was away, or came back from an older copy. The caller holds mu.
func (m *Membership) postponeRemoval(now cicadapitch.Instant, c fleet.Change, s source) bool {
	p := pendingRemoval{record: c.Record, from: s, restored: c.Restored(), due: now.Add(reregisterGrace)}
	id, isEndpoint := platform.EndpointIDFromKey(c.Key)
	_, isZone := platform.EvacuatedZoneFromKey(c.Key)
	switch {
	case isEndpoint && m.state.Leaving(id):
		return false // it would not have been written again
	case isEndpoint && p.restored, isZone && p.restored:
	case isEndpoint && m.entriesMayHaveExpired(now):
		p.due = max(m.storeRecoveredAt, m.peerOutageAt, now-cicadapitch.Instant(reregisterGrace)).Add(reregisterGrace)
	case isHostKey(c.Key) && p.restored:
		p.due = now.Add(leaseTTL)
	default:
		return false
	}
	m.pendingRemovals[c.Key] = p
	return true
}

// removeOverdue removes the keys that were not written again in time or that did not
// expire after all, and reports whether there were any. It removes none during an outage of the
// store. The caller holds mu.
func (m *Membership) removeOverdue(now cicadapitch.Instant) bool {
	if len(m.pendingRemovals) == 0 {
		return false
	}
	removed, mayHaveExpired := false, m.entriesMayHaveExpired(now)
	for key, p := range m.pendingRemovals {
		if (p.restored || mayHaveExpired) && now < p.due || mayHaveExpired && !m.storeUp {
			continue
		}
		removed = true
		m.log.Info().Str("Key", key).Bool("Restored", p.restored).Bool("MayHaveExpired", mayHaveExpired).Msg("key was not written again")
		m.removeKey(p.record, p.from)
	}
	return removed
}

// outdatedByCopy reports whether a record of an endpoint, which the store may have from an older copy, would
// put an endpoint into use again that is known to have left or to leave. It is believed once its process has
// written again, or if it is of a later process.
func outdatedByCopy(id cicadapitch.EndpointID, c fleet.Change) bool {
	if !c.Restored() {
		return false
	}
	if c.Before.Removed {
		return true
	}
	before, err := platform.DecodeEndpoint(id, c.Before.Value, c.Before.Revision)
	if err != nil {
		return false
	}
	restored, err := platform.DecodeEndpoint(id, c.Value, c.Revision)
	return err == nil && (before.Started > restored.Started || before.Started == restored.Started && before.Leaving && !restored.Leaving)
}

// hostLease is the lease of this host's entry in the store.
type hostLease struct {
	// id is 0 while there is none.
	id cicadapitch.LeaseID
	// era is that of the store before the lease was granted. A store that comes back from an older copy gives
	// out ids again.
	era cicadapitch.StoreEra
}

// renew renews a lease. The error is platform.ErrNoLease also if the store has come back from a copy since the
// lease was granted.
func (m *Membership) renew(ctx context.Context, l hostLease) error {
	if l.era == m.store.Era() {
		if _, err := m.store.Renew(ctx, l.id); err != nil {
			return err
		}
	}
	if l.era != m.store.Era() {
		return platform.ErrNoLease
	}
	return nil
}

// endLease removes this host's entry from the store.
func (m *Membership) endLease(ctx context.Context, l hostLease) error {
	if l.era == m.store.Era() {
		return m.store.Revoke(ctx, l.id)
	}
	_, err := m.store.Commit(ctx, nil, []cicadapitch.Write{{Key: hostKeyPrefix + m.incarnation, Delete: true}})
	return err
}

// restoreSecret writes the deployment's secret again if the store lacks it.
func (m *Membership) restoreSecret(ctx context.Context) {
	secret := m.secret.Load()
	if secret == nil {
		return
	}
	_, err := m.store.Commit(ctx, []cicadapitch.Condition{{Key: secretStoreKey}}, []cicadapitch.Write{{Key: secretStoreKey, Value: *secret}})
	if !errors.Is(err, platform.ErrConflict) {
		m.log.Info().Err(err).Msg("the deployment's secret written again")
	}
}
