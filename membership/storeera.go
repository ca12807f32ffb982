package membership

import (
	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
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
	case named == 0 && own == m.era.first:
		return own
	case !isEra(named):
		return 0
	}
	return named
}

// eraState is what a host knows of the store's eras.
type eraState struct {
	// first is the first era that the host has known, current the latest one.
	first, current cicadapitch.StoreEra
	// since is when the host learned of current. It is 0 before the host knows any.
	since cicadapitch.Instant
}

// noteEra logs that the store has come back from an older copy. The caller holds mu.
func (m *Membership) noteEra(now cicadapitch.Instant, s source) {
	revision := m.mirror.Revision()
	era, before := revision.Era(), m.era
	switch {
	case revision == 0 || before.since > 0 && era == before.current:
		return
	case before.since == 0:
		m.era.first = era
	default:
		m.log.Warn().Int64("Era", int64(era)).Int64("Before", int64(before.current)).Int64("Revision", revision.Number()).
			Str("From", s.from).Stringer("By", s.by).Msg("the store has come back from an older copy")
		m.metrics.Counter("StoreEras").Inc(1)
	}
	m.era.current, m.era.since = era, now
}
