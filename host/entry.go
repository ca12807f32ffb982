package host

import (
	"cmp"
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// entry is what this host knows of one host.
type entry struct {
	ref    Ref
	member cicadapitch.Member
	shape  uint64
	health Health
	// expiresAt is when a suspicion turns into Gone, or when an entry that is
	// Gone is forgotten.
	expiresAt cicadapitch.Instant
}

// memberView returns the record as other packages see it.
func (e *entry) memberView() cicadapitch.Member {
	m := e.member
	switch e.health {
	case Suspected:
		m.State = cicadapitch.Suspect
	case Gone:
		m.State = cicadapitch.Dead
	}
	return m
}

func (e *entry) status() Status {
	return Status{
		Ref:      e.ref,
		Version:  e.member.Version,
		Shape:    e.shape,
		State:    e.member.State,
		Health:   e.health,
		Revision: e.member.Revision,
		StoreUp:  e.member.StoreUp,
	}
}

func (e *entry) record() Record {
	m := e.member
	r := Record{
		Status:      e.status(),
		Host:        m.Host,
		Zone:        m.Zone,
		Region:      m.Region,
		Incarnation: m.Incarnation,
		Started:     m.Started,
		PeerAddress: m.PeerAddress,
		CallerURL:   m.CallerURL,
	}
	for _, c := range m.Claims {
		r.Claims = append(r.Claims, Claim{Shard: c.Shard, Fencing: c.Fencing})
	}
	return r
}

func (e *entry) loads() Loads {
	l := Loads{Version: e.member.LoadVersion, Running: e.member.Running}
	for _, c := range e.member.Claims {
		l.Shards = append(l.Shards, Load{
			Free: c.Load.Free, Total: c.Load.Total, Queued: c.Load.Queued, Service: c.Load.ServiceMillis,
		})
	}
	return l
}

// matches reports whether s tells nothing new.
func (e *entry) matches(s Status) bool {
	return s.Ref == e.ref && !e.supersededBy(s) && s.Version == e.member.Version
}

// supersededBy reports whether s is newer than the entry.
func (e *entry) supersededBy(s Status) bool {
	return cmp.Or(
		cmp.Compare(s.Version, e.member.Version),
		cmp.Compare(s.Health, e.health),
	) > 0
}

// applyStatus takes over a status of the same shape.
func (e *entry) applyStatus(s Status) {
	e.member.Version = s.Version
	e.member.State = s.State
	e.member.Revision = s.Revision
	e.member.StoreUp = s.StoreUp
	e.health = s.Health
	if s.State == cicadapitch.Dead {
		e.health = Gone
	}
}

// applyLoads takes over the loads that came from the host itself.
func (e *entry) applyLoads(shape uint64, l Loads) {
	if shape != e.shape || l.Version <= e.member.LoadVersion || len(l.Shards) != len(e.member.Claims) {
		return
	}
	e.member.LoadVersion = l.Version
	e.member.Running = l.Running
	// Views of the record share the old claims.
	claims := make([]cicadapitch.Claim, len(l.Shards))
	for i, s := range l.Shards {
		claims[i] = e.member.Claims[i]
		claims[i].Load = cicadapitch.ShardLoad{
			Free: s.Free, Total: s.Total, Queued: s.Queued, ServiceMillis: s.Service,
		}
	}
	e.member.Claims = claims
}

// hash is the entry's part of a digest. Hosts that are Gone have none, so that
// it does not matter when they are forgotten.
func (e *entry) hash() uint32 {
	if e.health == Gone {
		return 0
	}
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(e.ref))
	binary.LittleEndian.PutUint64(b[8:], e.member.Version)
	return uint32(xxh3.Hash(b[:]))
}

// newEntry makes an entry of a record.
func newEntry(r Record) *entry {
	m := cicadapitch.Member{
		Host:        r.Host,
		Zone:        r.Zone,
		Region:      r.Region,
		Incarnation: r.Incarnation,
		Started:     r.Started,
		PeerAddress: r.PeerAddress,
		CallerURL:   r.CallerURL,
	}
	for _, c := range r.Claims {
		m.Claims = append(m.Claims, cicadapitch.Claim{Shard: c.Shard, Fencing: c.Fencing})
	}
	e := &entry{ref: refOf(m), member: m, shape: r.Status.Shape}
	e.applyStatus(r.Status)
	return e
}

// copyLoads takes over the loads of the same claims from an older entry.
func (e *entry) copyLoads(old *entry) {
	e.member.LoadVersion = old.member.LoadVersion
	e.member.Running = old.member.Running
	known := make(map[Claim]cicadapitch.ShardLoad, len(old.member.Claims))
	for _, c := range old.member.Claims {
		known[Claim{Shard: c.Shard, Fencing: c.Fencing}] = c.Load
	}
	for i, c := range e.member.Claims {
		e.member.Claims[i].Load = known[Claim{Shard: c.Shard, Fencing: c.Fencing}]
	}
}

// replacedBy reports whether m is of a later incarnation than the entry.
func (e *entry) replacedBy(m cicadapitch.Member) bool {
	return cmp.Or(
		cmp.Compare(m.Started, e.member.Started),
		cmp.Compare(m.Incarnation, e.member.Incarnation),
	) > 0
}
