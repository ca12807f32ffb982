package membership

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/platform"
)

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
	_, isOrder := platform.RolloutServiceFromKey(c.Key)
	switch {
	case isEndpoint && m.state.Leaving(id):
		return false // it would not have been written again
	case (isEndpoint || isZone || isOrder) && p.restored:
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
