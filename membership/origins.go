package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/origin"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// originKeyPrefix is the prefix of the store keys of records of streams, versionKeyPrefix
	// that of the keys of services' software versions.
	originKeyPrefix  = "origins/"
	versionKeyPrefix = "versions/"
	// originStoreInterval is the pause between two writes of a host's records.
	originStoreInterval cicadapitch.Millis = 200
	// maxOriginsPerWrite bounds the records in one write.
	maxOriginsPerWrite = 1000
	// originLeaseTTL is the lifetime of the keys of records that is always there, and
	// originLeaseUse how long one lease takes further keys.
	originLeaseTTL = cicadapitch.Minute
	originLeaseUse = 20 * cicadapitch.Second
	// originStoreTimeout bounds one write or call.
	originStoreTimeout = cicadapitch.Second
	// versionsTakeover is how long a host waits for each host before it, in the rank order for a
	// service, to write the service's versions.
	versionsTakeover cicadapitch.Millis = 400
	// versionsTimeout bounds a read of a service's versions, versionsPause is the least time
	// between two.
	versionsTimeout cicadapitch.Millis = 500
	versionsPause   cicadapitch.Millis = 25
	// originCollectors is the number of hosts of a large fleet that write the records of all.
	originCollectors = 4
	originRankKey    = "origins"
)

// Origins holds what a host knows of where streams began. Package gateway implements it. Its
// methods must not call the Membership.
type Origins interface {
	// AddRecords adds records that the store holds in an era.
	AddRecords(now cicadapitch.Instant, e cicadapitch.StoreEra, records []origin.Record)
	// ApplyVersions records what the store lists of the versions of a service.
	ApplyVersions(now cicadapitch.Instant, s catalog.ServiceID, stored []origin.StoredVersion)
	// Versions returns the versions that the store has to hold, by service.
	Versions(now cicadapitch.Instant) map[catalog.ServiceID][]origin.StoredVersion
	// TakeRecords returns up to n records that have to be stored, and ReturnRecords takes back
	// those that could not be.
	TakeRecords(now cicadapitch.Instant, n int) []origin.Record
	ReturnRecords(now cicadapitch.Instant, records []origin.Record)
	// RenewRecords makes TakeRecords return the known records that are not stored in an era, of the streams for
	// which owned returns true, and returns how many there are.
	RenewRecords(now cicadapitch.Instant, e cicadapitch.StoreEra, owned func(cicadapitch.RequestID) bool) int
}

// noOrigins is the Origins of a host that begins no streams.
type noOrigins struct{}

func (noOrigins) AddRecords(cicadapitch.Instant, cicadapitch.StoreEra, []origin.Record) {}
func (noOrigins) ApplyVersions(cicadapitch.Instant, catalog.ServiceID, []origin.StoredVersion) {
}

func (noOrigins) Versions(cicadapitch.Instant) map[catalog.ServiceID][]origin.StoredVersion {
	return nil
}
func (noOrigins) TakeRecords(cicadapitch.Instant, int) []origin.Record { return nil }
func (noOrigins) ReturnRecords(cicadapitch.Instant, []origin.Record)   {}
func (noOrigins) RenewRecords(cicadapitch.Instant, cicadapitch.StoreEra, func(cicadapitch.RequestID) bool) int {
	return 0
}

// SetOrigins sets what the store keeps of the origins of streams. It is called before the
// goroutines of m start.
func (m *Membership) SetOrigins(o Origins) { m.origins = o }

// originLease is the lease of the keys of records.
type originLease struct {
	id cicadapitch.LeaseID
	// usableUntil is when keys need another lease, ttl its lifetime.
	usableUntil cicadapitch.Instant
	ttl         cicadapitch.Millis
	// era is that of the store before the lease was granted.
	era cicadapitch.StoreEra
}

// StoreOrigins keeps in the store what outlives all hosts of where streams began, until ctx
// ends: the versions of each service, and records of streams while there are several.
func (m *Membership) StoreOrigins(ctx context.Context) {
	var lease originLease
	outdated := map[catalog.ServiceID]cicadapitch.Instant{}
	for n := 0; m.clock.Sleep(ctx, originStoreInterval) == nil; n++ {
		m.mu.Lock()
		up := m.storeUp
		m.mu.Unlock()
		if !up {
			continue
		}
		m.storeVersions(ctx, outdated)
		m.renewRecords()
		m.storeRecords(ctx, &lease, n)
	}
}

// storeVersions writes the versions of services that the store lacks and whose turn it is for this
// host: at once as their owner, later in the owner's stead. outdated holds since when the store
// lacks them.
func (m *Membership) storeVersions(ctx context.Context, outdated map[catalog.ServiceID]cicadapitch.Instant) {
	now := m.clock.Now()
	for s, versions := range m.origins.Versions(now) {
		if m.versionsStored(s, versions) {
			delete(outdated, s)
			continue
		}
		if outdated[s] == 0 {
			outdated[s] = now
		}
		rank := slices.IndexFunc(m.OwnersOf(versionKeyPrefix+string(s)), m.IsSelf)
		if rank < 0 || now.Sub(outdated[s]) < cicadapitch.Millis(rank)*versionsTakeover {
			continue
		}
		if err := m.storeServiceVersions(ctx, s); err != nil && cicadapitch.KindOf(err) != cicadapitch.Conflict {
			return
		}
	}
}

// versionsStored reports whether the store lists the versions of a service, as far as is known, and
// names them as complete once they are.
func (m *Membership) versionsStored(s catalog.ServiceID, versions []origin.StoredVersion) bool {
	era := m.settledEra(m.clock.Now(), 0)
	m.mu.Lock()
	defer m.mu.Unlock()
	stored := m.storedVersions[versionKeyPrefix+string(s)]
	return reflect.DeepEqual(presence(stored), presence(versions)) && origin.CompleteIn(stored, era)
}

// storeServiceVersions adds the versions of a service that this host knows to those that the store
// lists.
func (m *Membership) storeServiceVersions(ctx context.Context, s catalog.ServiceID) error {
	ctx, cancel := context.WithTimeout(ctx, originStoreTimeout.Duration())
	defer cancel()
	revision, err := m.readVersions(ctx, s)
	if k := cicadapitch.KindOf(err); err != nil && k != cicadapitch.NotFound && k != cicadapitch.Invalid {
		m.log.Warn().Str("Service", string(s)).Err(err).Msg("reading the versions of a service failed")
		return err
	}
	era := m.completeEra(ctx)
	versions := m.origins.Versions(m.clock.Now())[s]
	if m.versionsStored(s, versions) {
		return nil
	}
	slices.SortFunc(versions, func(a, b origin.StoredVersion) int {
		return strings.Compare(string(a.Version), string(b.Version))
	})
	key := versionKeyPrefix + string(s)
	m.mu.Lock()
	stored := m.storedVersions[key]
	m.mu.Unlock()
	versions = origin.WithEra(versions, stored, era)
	if slices.Equal(versions, stored) {
		return nil // the list cannot be completed yet
	}
	value, err := json.Marshal(versions)
	if err == nil {
		unchanged := cicadapitch.Condition{Key: key, Revision: revision}
		revision, err = m.store.Commit(ctx, []cicadapitch.Condition{unchanged}, []cicadapitch.Write{{Key: key, Value: value}})
	}
	m.log.Info().Str("Service", string(s)).Int("Versions", len(versions)).Int64("CompleteIn", int64(era)).
		Int64("Revision", revision.Number()).Err(err).Msg("versions stored")
	if err == nil {
		m.applyPart([]fleet.Record{{Key: key, Value: value, Revision: revision}}, storeWrite)
	}
	return err
}

// readVersions reads the versions of a service from the store and applies them. It returns the
// revision of their key. The error is NotFound if there is none, and Invalid if it cannot be decoded.
func (m *Membership) readVersions(ctx context.Context, s catalog.ServiceID) (cicadapitch.StoreRevision, error) {
	kv, err := m.store.Get(ctx, versionKeyPrefix+string(s))
	if err != nil {
		return 0, err
	}
	m.applyPart([]fleet.Record{{Key: kv.Key, Value: kv.Value, Revision: kv.Revision}}, storePoll)
	if err := platform.DecodeEntry(kv.Value, &[]origin.StoredVersion{}); err != nil {
		return kv.Revision, cicadapitch.NewError(cicadapitch.Invalid, "store: "+err.Error(), "write the versions again")
	}
	return kv.Revision, nil
}

// versionReads lets callers share reads of the versions of services.
type versionReads struct {
	mu sync.Mutex
	// queued holds the reads that have not begun.
	queued map[catalog.ServiceID]*versionRead
	// running is held while a read runs.
	running sync.Mutex
}

// versionRead is one read. err is set once done is closed.
type versionRead struct {
	done chan struct{}
	err  error
}

// ConfirmVersions returns nil once Origins has all versions of a service at which streams have begun
// before the call: those that the store lists. Calls share reads that begin after them. The error is NotRun
// while the list may lack versions, since the store has come back from an older copy.
func (m *Membership) ConfirmVersions(ctx context.Context, s catalog.ServiceID) error {
	ctx, cancel := context.WithTimeout(ctx, versionsTimeout.Duration())
	defer cancel()
	reads := &m.versionReads
	reads.mu.Lock()
	r := reads.queued[s]
	if r == nil {
		r = &versionRead{done: make(chan struct{})}
		reads.queued[s] = r
		go m.runVersionRead(s, r)
	}
	reads.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return cicadapitch.Wrap(ctx.Err())
	}
}

// runVersionRead runs a queued read once those before it have ended.
func (m *Membership) runVersionRead(s catalog.ServiceID, r *versionRead) {
	reads := &m.versionReads
	reads.running.Lock()
	defer reads.running.Unlock()
	reads.mu.Lock()
	delete(reads.queued, s)
	reads.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), versionsTimeout.Duration())
	defer cancel()
	var revision cicadapitch.StoreRevision
	if revision, r.err = m.readVersions(ctx, s); r.err == nil {
		r.err = m.checkComplete(s, revision.Era())
	}
	close(r.done)
	_ = m.clock.Sleep(context.Background(), versionsPause) // cannot fail with this context
}

// presence returns for each version whether it has vanished; the time does not matter.
func presence(versions []origin.StoredVersion) map[cicadapitch.SoftwareVersion]bool {
	out := map[cicadapitch.SoftwareVersion]bool{}
	for _, v := range versions {
		out[v.Version] = v.GoneAt > 0
	}
	return out
}

func (m *Membership) commitOrigins(ctx context.Context, w cicadapitch.Write) error {
	ctx, cancel := context.WithTimeout(ctx, originStoreTimeout.Duration())
	defer cancel()
	_, err := m.store.Commit(ctx, nil, []cicadapitch.Write{w})
	return err
}

// storeRecords writes the records of streams that have to be stored, with the number n in the
// key. In a large fleet it passes them to a host that collects them.
func (m *Membership) storeRecords(ctx context.Context, lease *originLease, n int) {
	records := m.origins.TakeRecords(m.clock.Now(), maxOriginsPerWrite)
	if len(records) == 0 {
		return
	}
	err := m.sendRecords(ctx, lease, n, records)
	if err != nil {
		m.origins.ReturnRecords(m.clock.Now(), records)
		m.log.Warn().Int("Records", len(records)).Err(err).Msg("storing origins of streams failed; trying again")
	}
}

// sendRecords writes records, or passes them to a collector.
func (m *Membership) sendRecords(ctx context.Context, lease *originLease, n int, records []origin.Record) error {
	if c, ok := m.collector(); ok {
		ctx, cancel := context.WithTimeout(ctx, originStoreTimeout.Duration())
		defer cancel()
		_, err := peer.Call[OriginBatch, struct{}](ctx, m.dialers.Load().Control, c.Peers, callOriginBatch, OriginBatch{records})
		return err
	}
	value, err := json.Marshal(records)
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	if err := m.renewOriginLease(ctx, lease, records); err != nil {
		return err
	}
	key := fmt.Sprintf("%s%s/%d", originKeyPrefix, m.incarnation, n)
	return m.commitOrigins(ctx, cicadapitch.Write{Key: key, Value: value, Lease: lease.id})
}

// collector returns the host that writes the records of this one, or false if it is this host.
func (m *Membership) collector() (fleet.Host, bool) {
	if m.allWatch() || m.dialers.Load() == nil {
		return fleet.Host{}, false
	}
	collectors := m.rankedHosts().first(originRankKey, originCollectors)
	if len(collectors) == 0 || slices.ContainsFunc(collectors, m.IsSelf) {
		return fleet.Host{}, false
	}
	return fleet.Rank(m.incarnation, collectors, fleet.HostIncarnation)[0], true
}

// renewOriginLease grants another lease if the keys of the records would not outlive them. Such
// a lease is never renewed: it ends when no caller takes its streams up any more.
func (m *Membership) renewOriginLease(ctx context.Context, lease *originLease, records []origin.Record) error {
	longest := slices.MaxFunc(records, func(a, b origin.Record) int { return int(a.Lifetime - b.Lifetime) }).Lifetime
	ttl := min(max(originLeaseTTL, longest+originLeaseUse), origin.MaxLifetime)
	now := m.clock.Now()
	era := m.store.Era()
	if now < lease.usableUntil && ttl <= lease.ttl && lease.era == era {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, originStoreTimeout.Duration())
	defer cancel()
	id, err := m.store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	*lease = originLease{id, now.Add(originLeaseUse), ttl, era}
	return nil
}

// applyOrigins applies a key of records of streams. The caller holds mu.
func (m *Membership) applyOrigins(now cicadapitch.Instant, r fleet.Record) {
	if r.Removed {
		return
	}
	var records []origin.Record
	if err := platform.DecodeEntry(r.Value, &records); err != nil {
		m.log.Warn().Str("Key", r.Key).Err(err).Msg("invalid store entry of streams ignored")
		return
	}
	m.origins.AddRecords(now, r.Revision.Era(), records)
}

// applyVersions applies the key of a service's versions. The caller holds mu.
func (m *Membership) applyVersions(now cicadapitch.Instant, r fleet.Record) {
	s := catalog.ServiceID(strings.TrimPrefix(r.Key, versionKeyPrefix))
	var versions []origin.StoredVersion
	if r.Removed {
		delete(m.storedVersions, r.Key)
		m.origins.ApplyVersions(now, s, nil)
		return
	}
	if err := platform.DecodeEntry(r.Value, &versions); err != nil {
		delete(m.storedVersions, r.Key) // so that it is written anew
		m.log.Warn().Str("Key", r.Key).Err(err).Msg("invalid store entry of a service's versions ignored")
		return
	}
	m.storedVersions[r.Key] = versions
	m.origins.ApplyVersions(now, s, versions)
}
