package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

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
	// originCollectors is the number of hosts of a large fleet that write the records of all.
	originCollectors = 4
	originRankKey    = "origins"
)

// Origins holds what a host knows of where streams began. Package gateway implements it. Its
// methods must not call the Membership.
type Origins interface {
	// AddRecords adds records that the store holds.
	AddRecords(now cicadapitch.Instant, records []origin.Record)
	// RestoreVersions adds the versions of a service that the store holds.
	RestoreVersions(now cicadapitch.Instant, s catalog.ServiceID, stored []origin.StoredVersion)
	// Versions returns the versions that the store has to hold, by service.
	Versions(now cicadapitch.Instant) map[catalog.ServiceID][]origin.StoredVersion
	// TakeRecords returns up to n records that have to be stored, and ReturnRecords takes back
	// those that could not be.
	TakeRecords(now cicadapitch.Instant, n int) []origin.Record
	ReturnRecords(now cicadapitch.Instant, records []origin.Record)
}

// noOrigins is the Origins of a host that begins no streams.
type noOrigins struct{}

func (noOrigins) AddRecords(cicadapitch.Instant, []origin.Record) {}
func (noOrigins) RestoreVersions(cicadapitch.Instant, catalog.ServiceID, []origin.StoredVersion) {
}

func (noOrigins) Versions(cicadapitch.Instant) map[catalog.ServiceID][]origin.StoredVersion {
	return nil
}
func (noOrigins) TakeRecords(cicadapitch.Instant, int) []origin.Record { return nil }
func (noOrigins) ReturnRecords(cicadapitch.Instant, []origin.Record)   {}

// SetOrigins sets what the store keeps of the origins of streams. It is called before the
// goroutines of m start.
func (m *Membership) SetOrigins(o Origins) { m.origins = o }

// originLease is the lease of the keys of records.
type originLease struct {
	id cicadapitch.LeaseID
	// usableUntil is when keys need another lease, ttl its lifetime.
	usableUntil cicadapitch.Instant
	ttl         cicadapitch.Millis
}

// StoreOrigins keeps in the store what outlives all hosts of where streams began, until ctx
// ends: the versions of each service, and records of streams while there are several.
func (m *Membership) StoreOrigins(ctx context.Context) {
	var lease originLease
	for n := 0; m.clock.Sleep(ctx, originStoreInterval) == nil; n++ {
		m.mu.Lock()
		up := m.storeUp
		m.mu.Unlock()
		if !up {
			continue
		}
		m.storeVersions(ctx)
		m.storeRecords(ctx, &lease, n)
	}
}

// storeVersions writes the versions of services that the store lacks and this host owns.
func (m *Membership) storeVersions(ctx context.Context) {
	for s, versions := range m.origins.Versions(m.clock.Now()) {
		slices.SortFunc(versions, func(a, b origin.StoredVersion) int {
			return strings.Compare(string(a.Version), string(b.Version))
		})
		key := versionKeyPrefix + string(s)
		m.mu.Lock()
		known := reflect.DeepEqual(presence(m.storedVersions[key]), presence(versions))
		m.mu.Unlock()
		if known || !m.IsSelf(m.OwnersOf(key)[0]) {
			continue
		}
		value, err := json.Marshal(versions)
		if err == nil {
			err = m.commitOrigins(ctx, cicadapitch.Write{Key: key, Value: value})
		}
		m.log.Info().Str("Service", string(s)).Int("Versions", len(versions)).Err(err).Msg("versions stored")
		if err != nil {
			return
		}
	}
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
	collectors := fleet.Rank(originRankKey, m.Hosts(), func(h fleet.Host) string { return h.Incarnation })
	collectors = collectors[:min(originCollectors, len(collectors))]
	if len(collectors) == 0 || slices.ContainsFunc(collectors, m.IsSelf) {
		return fleet.Host{}, false
	}
	return fleet.Rank(m.incarnation, collectors, func(h fleet.Host) string { return h.Incarnation })[0], true
}

// renewOriginLease grants another lease if the keys of the records would not outlive them. Such
// a lease is never renewed: it ends when no caller takes its streams up any more.
func (m *Membership) renewOriginLease(ctx context.Context, lease *originLease, records []origin.Record) error {
	longest := slices.MaxFunc(records, func(a, b origin.Record) int { return int(a.Lifetime - b.Lifetime) }).Lifetime
	ttl := min(max(originLeaseTTL, longest+originLeaseUse), origin.MaxLifetime)
	now := m.clock.Now()
	if now < lease.usableUntil && ttl <= lease.ttl {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, originStoreTimeout.Duration())
	defer cancel()
	id, err := m.store.Grant(ctx, ttl)
	if err != nil {
		return err
	}
	*lease = originLease{id, now.Add(originLeaseUse), ttl}
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
	m.origins.AddRecords(now, records)
}

// applyVersions applies the key of a service's versions. The caller holds mu.
func (m *Membership) applyVersions(now cicadapitch.Instant, r fleet.Record) {
	var versions []origin.StoredVersion
	if r.Removed {
		delete(m.storedVersions, r.Key)
		return
	}
	if err := platform.DecodeEntry(r.Value, &versions); err != nil {
		m.log.Warn().Str("Key", r.Key).Err(err).Msg("invalid store entry of a service's versions ignored")
		return
	}
	m.storedVersions[r.Key] = versions
	m.origins.RestoreVersions(now, catalog.ServiceID(strings.TrimPrefix(r.Key, versionKeyPrefix)), versions)
}
