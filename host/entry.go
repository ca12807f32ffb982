package host

import (
	"cmp"
	"encoding/binary"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// entry is what this host knows of a host, itself included.
type entry struct {
	ref    Ref
	member cicadapitch.Member
	// shape is the Shape of the host's Status.
	shape  uint64
	health Health
	// expiresAt is when a Suspected host becomes Gone, and when the entry of a
	// host that is Gone is evicted.
	expiresAt cicadapitch.Instant
}

// memberView returns the member with the state that other packages see: Suspect
// or Dead where the health says so, the host's own state otherwise.
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

// matches reports whether s has the reference and version of the entry, and no
// higher health.
func (e *entry) matches(s Status) bool {
	return s.Ref == e.ref && !e.supersededBy(s) && s.Version == e.member.Version
}

// supersededBy reports whether s is newer than the entry: of a higher version, or
// of the same version with a higher health.
func (e *entry) supersededBy(s Status) bool {
	return cmp.Or(
		cmp.Compare(s.Version, e.member.Version),
		cmp.Compare(s.Health, e.health),
	) > 0
}

// applyStatus copies s, which must have the shape of the entry, into the entry. A
// host with the state Dead is Gone.
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

// applyLoads copies loads that the host itself has sent into the entry. It
// ignores loads of another shape, and loads that are not newer.
func (e *entry) applyLoads(shape uint64, l Loads) {
	if shape != e.shape || l.Version <= e.member.LoadVersion || len(l.Shards) != len(e.member.Claims) {
		return
	}
	e.member.LoadVersion = l.Version
	e.member.Running = l.Running
	// The old slice is shared with members returned to callers and must not
	// change.
	claims := make([]cicadapitch.Claim, len(l.Shards))
	for i, s := range l.Shards {
		claims[i] = e.member.Claims[i]
		claims[i].Load = cicadapitch.ShardLoad{
			Free: s.Free, Total: s.Total, Queued: s.Queued, ServiceMillis: s.Service,
		}
	}
	e.member.Claims = claims
}

// hash returns the hash of the entry in the digest. It is 0 for a host that is
// Gone, so that digests do not depend on when such entries are evicted.
func (e *entry) hash() uint32 {
	if e.health == Gone {
		return 0
	}
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], uint64(e.ref))
	binary.LittleEndian.PutUint64(b[8:], e.member.Version)
	return uint32(xxh3.Hash(b[:]))
}

// newEntry returns an entry for r, without loads.
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

// copyLoads copies the loads of an older entry, for the claims that both have.
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

// replacedBy reports whether m is a later incarnation than the entry, by start
// time and then by incarnation number.
func (e *entry) replacedBy(m cicadapitch.Member) bool {
	return cmp.Or(
		cmp.Compare(m.Started, e.member.Started),
		cmp.Compare(m.Incarnation, e.member.Incarnation),
	) > 0
}
