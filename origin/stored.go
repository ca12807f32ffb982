package origin

import (
	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

const (
	// ListDelay is how long a host may take to learn that the store lists a version as gone. Until
	// then it may begin streams at endpoints of the version that come back.
	ListDelay = 30 * cicadapitch.Second
	// maxUnstored bounds the records that wait to be stored. The oldest are dropped first.
	maxUnstored = 4096
)

// StoredVersion is a software version of a service as the platform's store holds it.
type StoredVersion struct {
	Version cicadapitch.SoftwareVersion
	// GoneAt is when it went out of use, in milliseconds since the Unix epoch by the clock of
	// the host that stored it, or 0 while it is in use.
	GoneAt cicadapitch.Instant
	// Era is the latest era of the store in which the list was known to be complete. It is 0 in
	// lists of earlier builds. All versions of a list have the same one.
	Era cicadapitch.StoreEra `json:",omitempty"`
}

// CompleteIn reports whether a list holds all versions at which streams may have begun before it was read
// in an era of the store. One that was written in an earlier era may lack those that joined
// after the copy from which the store came back.
func CompleteIn(list []StoredVersion, e cicadapitch.StoreEra) bool {
	return len(list) > 0 && lo.EveryBy(list, func(v StoredVersion) bool { return v.Era >= e })
}

// WithEra returns the list with the era in which it is known to be complete, or with the one of stored,
// which it replaces, if that is later.
func WithEra(list, stored []StoredVersion, e cicadapitch.StoreEra) []StoredVersion {
	if len(stored) > 0 {
		e = max(e, lo.MinBy(stored, func(a, b StoredVersion) bool { return a.Era < b.Era }).Era)
	}
	return lo.Map(list, func(v StoredVersion, _ int) StoredVersion {
		v.Era = e
		return v
	})
}

// StoredVersions returns what the store has to list of the versions of each service: those that
// have endpoints, or had lately, and those that went out of use while streams of them may be taken up.
func (h *History) StoredVersions(now cicadapitch.Instant) map[catalog.ServiceID][]StoredVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[catalog.ServiceID][]StoredVersion{}
	for s, versions := range h.services {
		for v, u := range versions {
			stored := StoredVersion{Version: v}
			switch {
			case u.present || u.listed && now.Sub(u.absentSince) < retireDelay:
			case u.listed:
				stored.GoneAt = now
			case u.storedGoneAt > 0:
				stored.GoneAt = u.storedGoneAt
			default:
				stored.GoneAt = u.goneAt
			}
			if u.possible(now, retention) {
				out[s] = append(out[s], stored)
			}
		}
	}
	return out
}

// ApplyStored records what the store lists of the versions of a service. Later lists must not be
// applied before earlier ones.
func (h *History) ApplyStored(now cicadapitch.Instant, s catalog.ServiceID, stored []StoredVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	goneAt := map[cicadapitch.SoftwareVersion]cicadapitch.Instant{}
	for _, v := range stored {
		goneAt[v.Version] = v.GoneAt
		h.use(now, s, v.Version)
	}
	for v, u := range h.services[s] {
		at, known := goneAt[v]
		inUse := known && at == 0
		if u.listed && !inUse || at != u.storedGoneAt && at > 0 {
			u.goneAt = now
		}
		u.listed, u.storedGoneAt = inUse, at
	}
	h.removeExpired(now)
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
