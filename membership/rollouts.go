package membership

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/canary"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// rolloutKeyPrefix is the prefix of the store keys that say how far orders have come, so that another
	// host goes on where the deciding one has ended.
	rolloutKeyPrefix = "rollouts/"
	// rolloutWriteTimeout bounds one write.
	rolloutWriteTimeout = 2 * cicadapitch.Second
)

// rolloutRecord is the JSON of how far an order has come.
type rolloutRecord struct {
	// Order is the number of the revision of the order's key.
	Order     int64
	To        cicadapitch.SoftwareVersion
	Phase     canary.Phase
	At, Since cicadapitch.Instant
}

// applyRolloutOrder applies an operator's order. An invalid one has no effect. The caller holds mu.
func (m *Membership) applyRolloutOrder(now cicadapitch.Instant, service catalog.ServiceID, c fleet.Change, s source) {
	rollout := m.state.Rollout(service)
	before := rollout.Order
	if c.Restored() && before.Revision != 0 && bytes.Equal(c.Value, c.Before.Value) {
		// The store has the same order again, which goes on.
		rollout.OrderRevision = c.Revision
		m.state.SetRollout(service, rollout)
		return
	}
	order, err := platform.DecodeRolloutOrder(service, c.Value, c.Revision)
	if err != nil {
		// An order that is in force goes on.
		rollout.OrderRevision = c.Revision
		m.state.SetRollout(service, rollout)
		m.log.Warn().Str("Service", string(service)).Int64("Revision", c.Revision.Number()).
			Str("InForce", string(before.To)).Err(err).Msg("invalid rollout order ignored")
		return
	}
	order.At = now
	rollout.Order, rollout.OrderRevision = order, c.Revision
	m.state.SetRollout(service, rollout)
	m.log.Info().Str("Service", string(service)).Str("To", string(order.To)).Int64("DurationMs", int64(order.Duration)).
		Int64("Revision", c.Revision.Number()).Str("From", s.from).Stringer("By", s.by).Msg("rollout order")
}

// removeRolloutOrder applies the removal of an operator's order. The caller holds mu.
func (m *Membership) removeRolloutOrder(service catalog.ServiceID, r fleet.Record, s source) {
	rollout := m.state.Rollout(service)
	rollout.Order, rollout.OrderRevision = canary.Order{}, 0
	m.state.SetRollout(service, rollout)
	m.log.Info().Str("Service", string(service)).Int64("Revision", r.Revision.Number()).
		Str("From", s.from).Stringer("By", s.by).Msg("rollout order withdrawn")
}

// applyRolloutProgress applies a change of the key that says how far an order has come, and does nothing
// for other keys. The caller holds mu.
func (m *Membership) applyRolloutProgress(r fleet.Record) {
	name, ok := strings.CutPrefix(r.Key, rolloutKeyPrefix)
	if !ok {
		return
	}
	service := catalog.ServiceID(name)
	rollout := m.state.Rollout(service)
	rollout.Progress = fleet.RolloutProgress{}
	if !r.Removed {
		rollout.Progress.Revision = r.Revision
		var rec rolloutRecord
		if err := platform.DecodeEntry(r.Value, &rec); err != nil {
			m.log.Warn().Str("Key", r.Key).Err(err).Msg("invalid progress of a rollout ignored; it is written again")
		} else {
			rollout.Progress = fleet.RolloutProgress{Order: rec.Order, To: rec.To, Phase: rec.Phase, At: rec.At, Since: rec.Since, Revision: r.Revision}
		}
	}
	m.state.SetRollout(service, rollout)
}

// applyRolloutStatus applies a change of the status of a rollout, and does nothing for other keys. The
// caller holds mu.
func (m *Membership) applyRolloutStatus(r fleet.Record) {
	service, ok := platform.RolloutStatusServiceFromKey(r.Key)
	if !ok {
		return
	}
	rollout := m.state.Rollout(service)
	rollout.Status = fleet.RolloutStatus{}
	if !r.Removed {
		phase, to, err := platform.DecodeRolloutStatus(r.Value)
		if err != nil {
			m.log.Warn().Str("Key", r.Key).Err(err).Msg("invalid status of a rollout ignored")
		}
		rollout.Status = fleet.RolloutStatus{Phase: phase, To: to, Revision: r.Revision}
	}
	m.state.SetRollout(service, rollout)
}

// StoreRollout writes how far an order has come, and the status that follows from it where that has
// changed, in one commit. known is what this host knows of the rollout. The error is Conflict if the store
// has the order, the progress or the status at other revisions.
func (m *Membership) StoreRollout(ctx context.Context, known fleet.Rollout, p fleet.RolloutProgress) error {
	ctx, cancel := context.WithTimeout(ctx, rolloutWriteTimeout.Duration())
	defer cancel()
	service := known.Order.Service
	value, err := json.Marshal(rolloutRecord{Order: p.Order, To: p.To, Phase: p.Phase, At: p.At, Since: p.Since})
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	progressKey, statusKey := rolloutKeyPrefix+string(service), platform.RolloutStatusKey(service)
	conditions := []cicadapitch.Condition{
		{Key: platform.RolloutKey(service), Revision: known.OrderRevision},
		{Key: progressKey, Revision: known.Progress.Revision},
	}
	writes := []cicadapitch.Write{{Key: progressKey, Value: value}}
	status := platform.EncodeRolloutStatus(p.Phase, p.To)
	if old := known.Status; old.Revision == 0 || !bytes.Equal(platform.EncodeRolloutStatus(old.Phase, old.To), status) || !known.Progress.Of(known.Order) {
		conditions = append(conditions, cicadapitch.Condition{Key: statusKey, Revision: old.Revision})
		writes = append(writes, cicadapitch.Write{Key: statusKey, Value: status})
	}
	revision, err := m.store.Commit(ctx, conditions, writes)
	if err != nil {
		return err
	}
	records := make([]fleet.Record, 0, len(writes))
	for _, w := range writes {
		records = append(records, fleet.Record{Key: w.Key, Value: w.Value, Revision: revision})
	}
	m.applyPart(records, storeWrite)
	return nil
}
