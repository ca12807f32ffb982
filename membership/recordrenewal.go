package membership

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

const (
	// recordTakeover is how long a host waits for each host before it, in the rank order for a stream, to write
	// the stream's record again. The hosts before it may have ended since the copy.
	recordTakeover cicadapitch.Millis = 200
	// renewalTime is for how long after the beginning of an era records are written again.
	renewalTime = 5 * cicadapitch.Second
)

// renewRecords lets records of streams be stored again that were stored in an earlier era, since the store may have
// come back from a copy without them: at once by the first host in the rank order for the stream, later by the
// others, unless the store has them by then.
func (m *Membership) renewRecords() {
	now := m.clock.Now()
	m.mu.Lock()
	era := m.era
	m.mu.Unlock()
	known := now.Sub(era.since)
	if era.current == era.first || known > renewalTime {
		return
	}
	records := m.origins.RenewRecords(now, era.current, func(id cicadapitch.RequestID) bool {
		rank := slices.IndexFunc(m.OwnersOf(string(id)), m.IsSelf)
		return rank >= 0 && cicadapitch.Millis(rank)*recordTakeover <= known
	})
	if records > 0 {
		m.metrics.Counter("OriginsRenewed").Inc(int64(records))
		m.log.Info().Int("Records", records).Int64("Era", int64(era.current)).Msg("origins of streams are stored again")
	}
}
