package origin

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

const (
	// clockSlack is how far the clocks of hosts may differ when one stores a time and another
	// reads it.
	clockSlack = 30 * cicadapitch.Second
	// maxUnstored bounds the records that wait to be stored. The oldest are dropped first.
	maxUnstored = 4096
)

// StoredVersion is a software version of a service as the platform's store holds it.
type StoredVersion struct {
	Version cicadapitch.SoftwareVersion
	// GoneAt is when its last endpoint left, in milliseconds since the Unix epoch by the clock
	// of the host that stored it, or 0 while there are any.
	GoneAt cicadapitch.Instant
}

// StoredVersions returns what the store has to hold of the versions of each service: those of
// the last observation, and those that have vanished within MaxLifetime.
func (h *History) StoredVersions(now cicadapitch.Instant) map[catalog.ServiceID][]StoredVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.touch(now)
	out := map[catalog.ServiceID][]StoredVersion{}
	for s, versions := range h.versions {
		for v, at := range versions {
			stored := StoredVersion{Version: v}
			if at < now {
				stored.GoneAt = at
			}
			if now.Sub(at) <= MaxLifetime {
				out[s] = append(out[s], stored)
			}
		}
	}
	return out
}

// Restore adds the versions of a service that the store held when this host started. The
// history of the service is complete from then on: what came into service later, the host sees.
func (h *History) Restore(now cicadapitch.Instant, s catalog.ServiceID, stored []StoredVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.restored[s] {
		return
	}
	h.restored[s] = true
	if h.versions[s] == nil {
		h.versions[s] = map[cicadapitch.SoftwareVersion]cicadapitch.Instant{}
	}
	for _, v := range stored {
		at := now
		if v.GoneAt > 0 {
			at = min(now, v.GoneAt.Add(clockSlack))
		}
		h.versions[s][v.Version] = max(h.versions[s][v.Version], at)
	}
}

// Journal holds the records of the streams that this host has begun and that the store lacks.
// Records of a service with a single version need not be stored: its versions say the same. It
// is not safe for concurrent use.
type Journal struct{ entries []journalEntry }

type journalEntry struct {
	record    Record
	expiresAt cicadapitch.Instant
}

// Add adds a record.
func (j *Journal) Add(now cicadapitch.Instant, rec Record) {
	j.prune(now)
	if len(j.entries) >= maxUnstored {
		j.entries = j.entries[1:]
	}
	j.entries = append(j.entries, journalEntry{rec, now.Add(rec.Lifetime)})
}

// Take removes and returns up to n records of the services for which store returns true.
func (j *Journal) Take(now cicadapitch.Instant, n int, store func(Record) bool) []Record {
	j.prune(now)
	var taken []Record
	kept := j.entries[:0]
	for _, e := range j.entries {
		if len(taken) < n && store(e.record) {
			e.record.Lifetime = e.expiresAt.Sub(now)
			taken = append(taken, e.record)
			continue
		}
		kept = append(kept, e)
	}
	j.entries = kept
	return taken
}

// prune removes expired records.
func (j *Journal) prune(now cicadapitch.Instant) {
	kept := j.entries[:0]
	for _, e := range j.entries {
		if now < e.expiresAt {
			kept = append(kept, e)
		}
	}
	j.entries = kept
}
