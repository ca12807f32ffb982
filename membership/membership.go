package membership

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"
	"github.com/uber-go/tally/v4"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/origin"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/placement"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/quarantine"
)

const (
	// heartbeatInterval is the pause between two heartbeats to the same host.
	heartbeatInterval cicadapitch.Millis = 400
	// heartbeatTimeout is the deadline of one heartbeat call.
	heartbeatTimeout cicadapitch.Millis = 1000
	// livenessTimeout is the time since its last heartbeat after which a host is
	// unavailable and leaves the directory, well within the time that the platform's
	// contract allows.
	livenessTimeout cicadapitch.Millis = 1600
	// firstHeartbeatGrace is how long a host counts as available while its first
	// heartbeat is outstanding.
	firstHeartbeatGrace cicadapitch.Millis = 1500
	// recentHostTime is how long a host that is no longer registered may still be on its way back.
	recentHostTime = 15 * cicadapitch.Second
	// hostKeyPrefix is the prefix of the store keys under which hosts register.
	hostKeyPrefix = "hosts/"
	// secretStoreKey is the store key of the deployment's secret. Hosts prove with
	// the secret that they belong to this deployment.
	secretStoreKey = "deployment/secret"
)

// Membership registers this host in the deployment, and tracks the other hosts, the
// endpoints and the configuration. FollowStore, KeepRegistered and RunHeartbeats each
// run in a goroutine of their own; EnablePeerCalls is called once the secret is known.
// OnView and SetLoadSources are called before all of these. Other methods are safe for
// concurrent use.
type Membership struct {
	settings    *platform.Settings
	clock       cicadapitch.Clock
	log         zerolog.Logger
	store       *platform.Store
	incarnation string
	engineLoads func() map[cicadapitch.EndpointID]int
	engineWork  func() map[cicadapitch.EndpointID]placement.EngineWork
	queueWaits  func() map[string][]cicadapitch.Millis
	cutOff      func() bool
	origins     Origins
	onView      []func(*fleet.View)
	quarantine  *quarantine.Ledger
	limits      *placement.RateLimits
	metrics     tally.Scope

	view atomic.Pointer[fleet.View]
	// reports caches EngineReports.
	reports atomic.Pointer[timedReports]
	// ranking is nil while the available hosts have to be listed anew. rankingChanges counts how
	// often that was.
	ranking        atomic.Pointer[hostRanking]
	rankingChanges atomic.Int64
	// knowledge tracks how old the knowledge of the endpoints is.
	knowledge    fleet.Knowledge
	refreshes    refreshes
	versionReads versionReads
	// lag tracks the versions of the configuration, history makes changes between them.
	// catchingUp is true while changes are fetched.
	lag        fleet.Lag
	history    catalogHistory
	catchingUp atomic.Bool
	leaving    atomic.Bool
	// closedToCallers is true once a host that leaves accepts no further callers.
	closedToCallers atomic.Bool
	// leaveCtx is canceled when the host begins to leave. leaveAnnounced is true once
	// RunHeartbeats has begun to send heartbeats that say so. Only RunHeartbeats uses
	// leaveAnnounced, so it needs no lock.
	leaveCtx       context.Context
	cancelLeaveCtx context.CancelFunc
	leaveAnnounced bool
	// loggedStale is true if the log says that the configuration is stale.
	loggedStale bool
	// dialers is nil before EnablePeerCalls.
	dialers atomic.Pointer[Dialers]
	// mustList is true while the changes since the last call do not suffice to follow the store,
	// watchWasSilent if the last watch was ended for its silence. Only FollowStore uses them.
	mustList, watchWasSilent bool
	// runCtx is the context of RunHeartbeats, or nil before that.
	runCtx atomic.Pointer[context.Context]
	// storeWatch holds the watch of the whole store, endpointWatch that of the endpoints' entries.
	storeWatch, endpointWatch watchSlot
	// callFailedAt is when a call of the store last failed, or 0 if it has answered since.
	callFailedAt atomic.Int64
	// secret is the deployment's secret, or nil before it is known.
	secret atomic.Pointer[[]byte]
	// syncing is true while store changes are fetched from another host.
	syncing atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// mirror is a copy of the store's records. state is decoded from them.
	mirror *fleet.Mirror
	state  *fleet.State
	// catalogRevision is the store's revision of the configuration in force. catalogRecord is
	// the latest configuration that came as a whole; it may be older.
	catalogRevision cicadapitch.StoreRevision
	catalogRecord   fleet.Record
	// peers holds the last heartbeat of each registered host, by incarnation.
	peers map[string]*peerState
	// monitored holds the incarnations of the hosts that get heartbeats from this
	// one.
	monitored map[string]bool
	// downAt holds when a host was last reported down, cutOffAt when it was last reported cut
	// off from most endpoints, by incarnation.
	downAt, cutOffAt map[string]cicadapitch.Instant
	// seenAt holds when each host was last registered, for recentHostTime after it was removed.
	seenAt map[cicadapitch.HostID]cicadapitch.Instant
	// peerWaits holds the latest queue waits that other hosts reported, by shard key.
	peerWaits map[string]timedWaits
	// dueRevision is what the watch of the whole store has to bring.
	dueRevision dueRevision
	// pendingRemovals holds the removals of keys whose writers may write them again, by key.
	pendingRemovals map[string]pendingRemoval
	// era is what this host knows of the store's eras.
	era eraState
	// storeFailedAt is when a store call last failed. storeRecoveredAt is when store
	// calls began to succeed, at the start or after a failure.
	storeFailedAt, storeRecoveredAt cicadapitch.Instant
	// storeDownSince is when store calls began to fail. outageWasOwn is true if another host
	// reached the store before they succeeded again.
	storeDownSince cicadapitch.Instant
	outageWasOwn   bool
	storeUp        bool
	// peerOutageAt is when another host last reported that it cannot reach the
	// store.
	peerOutageAt cicadapitch.Instant
	// lease is the lease of this host's entry in the store.
	lease hostLease
	// storedQuarantine holds the quarantined parts in the store, by key.
	storedQuarantine map[string]string
	// storedVersions holds the versions of services in the store, by key.
	storedVersions map[string][]origin.StoredVersion
	// storingQuarantine is true while a change of them is being written.
	storingQuarantine bool
}

// peerState holds the last heartbeat of another host and the times that belong to it.
type peerState struct {
	Heartbeat
	// receivedAt is when the last heartbeat came, or 0 while the first one is
	// outstanding.
	receivedAt cicadapitch.Instant
	// graceStart is when firstHeartbeatGrace began to run.
	graceStart cicadapitch.Instant
	// endedAt is when the host's process was last found to have ended, or 0.
	endedAt cicadapitch.Instant
}

// Option configures a Membership.
type Option func(*Membership)

// WithLog sets the logger. The default discards all messages.
func WithLog(log zerolog.Logger) Option { return func(m *Membership) { m.log = log } }

// WithClock sets the clock. The default is the system clock.
func WithClock(c cicadapitch.Clock) Option { return func(m *Membership) { m.clock = c } }

// WithQuarantine sets the ledger of parts of prompts that crash endpoints, which heartbeats
// and the store carry to other hosts. The default is an empty one.
func WithQuarantine(l *quarantine.Ledger) Option { return func(m *Membership) { m.quarantine = l } }

// WithRateLimits sets the limits that endpoints have named, which heartbeats carry to other
// hosts. The default is none.
func WithRateLimits(l *placement.RateLimits) Option { return func(m *Membership) { m.limits = l } }

// WithStore sets the client of the store. The default is one of the store in the settings.
func WithStore(s *platform.Store) Option { return func(m *Membership) { m.store = s } }

// WithMetrics sets the scope for metrics. The default discards them.
func WithMetrics(s tally.Scope) Option { return func(m *Membership) { m.metrics = s } }

// catalogAgeBuckets are the bounds of the histogram of the age at which configurations come
// into force.
var catalogAgeBuckets = tally.DurationBuckets{
	50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second,
}

// New returns a Membership with an empty view. It makes no call to the store.
func New(s *platform.Settings, opts ...Option) *Membership {
	m := &Membership{
		settings: s, clock: cicadapitch.NewSystemClock(), log: zerolog.Nop(),
		store: platform.NewStore([]string{s.Store.URL()}), incarnation: randomID(), metrics: tally.NoopScope,
		engineLoads: func() map[cicadapitch.EndpointID]int { return nil },
		engineWork:  func() map[cicadapitch.EndpointID]placement.EngineWork { return nil },
		queueWaits:  func() map[string][]cicadapitch.Millis { return nil },
		mirror:      fleet.NewMirror(), state: fleet.NewState(),
		cutOff: func() bool { return false }, origins: noOrigins{}, storedVersions: map[string][]origin.StoredVersion{},
		seenAt: map[cicadapitch.HostID]cicadapitch.Instant{},
		downAt: map[string]cicadapitch.Instant{}, cutOffAt: map[string]cicadapitch.Instant{}, peerWaits: map[string]timedWaits{},
		quarantine: quarantine.NewLedger(), limits: placement.NewRateLimits(), storedQuarantine: map[string]string{},
		versionReads: versionReads{queued: map[catalog.ServiceID]*versionRead{}},
		mustList:     true,
		peers:        map[string]*peerState{}, pendingRemovals: map[string]pendingRemoval{},
	}
	m.leaveCtx, m.cancelLeaveCtx = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(m)
	}
	m.view.Store(m.state.View())
	return m
}

// randomID returns 64 random bits in hexadecimal.
func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// OnView registers a function that is called with each new view. It runs with the
// lock of m held, so it must not block or call methods that take the lock, such as
// Hosts.
func (m *Membership) OnView(f func(*fleet.View)) { m.onView = append(m.onView, f) }

// SetLoadSources sets the functions that supply the contents of heartbeats.
// engineLoads returns this host's running requests by engine, queueWaits the queue
// waits of the shards that this host owns, by shard key (see gateway.QueueWaits).
func (m *Membership) SetLoadSources(engineLoads func() map[cicadapitch.EndpointID]int, queueWaits func() map[string][]cicadapitch.Millis) {
	m.engineLoads, m.queueWaits = engineLoads, queueWaits
}

// SetEngineWork sets the function that returns this host's outstanding work by engine for heartbeats. It is
// called before the goroutines of m start.
func (m *Membership) SetEngineWork(f func() map[cicadapitch.EndpointID]placement.EngineWork) {
	m.engineWork = f
}

// SetCutOff sets the function that reports whether this host is cut off from most endpoints.
// It is called before the goroutines of m start.
func (m *Membership) SetCutOff(f func() bool) { m.cutOff = f }

// View returns the current view.
func (m *Membership) View() *fleet.View { return m.view.Load() }

// Dialer returns the dialer for calls for requests to other hosts, or nil before
// EnablePeerCalls.
func (m *Membership) Dialer() *peer.Dialer {
	if d := m.dialers.Load(); d != nil {
		return d.Requests
	}
	return nil
}

// Incarnation returns the random id of this process. A restarted host has
// another one.
func (m *Membership) Incarnation() string { return m.incarnation }

// Ready implements platform.Directory. A host is ready once it has a configuration, while
// that is not stale, and until it begins to leave.
func (m *Membership) Ready() bool {
	return m.View().Catalog != nil && !m.CatalogLag().Stale && !m.leaving.Load()
}

// Leave makes the host unready and revokes the lease of its store entry. If that
// fails, the entry expires with its lease. ctx bounds the store call.
func (m *Membership) Leave(ctx context.Context) {
	m.leaving.Store(true)
	m.dropRanking()
	m.cancelLeaveCtx()
	m.mu.Lock()
	lease := m.lease
	m.lease = hostLease{}
	m.mu.Unlock()
	if lease.id == 0 {
		return
	}
	if err := m.endLease(ctx, lease); err != nil {
		m.log.Warn().Err(err).Msg("removing this host's store entry failed; the entry expires with its lease")
	}
}

// CloseToCallers records that this host, which leaves, accepts no further callers.
func (m *Membership) CloseToCallers() { m.closedToCallers.Store(true) }

// Addresses implements platform.Directory. It returns the caller addresses of
// the available hosts in zone, or of those in other zones if zone has none, and
// how long callers may use the answer. While at least half of the hosts reach the endpoints,
// it leaves out those that are cut off, whose requests would take a detour. If no host is
// available, it names this one while that still accepts callers.
func (m *Membership) Addresses(zone cicadapitch.ZoneID) ([]string, cicadapitch.Millis) {
	hosts := m.Hosts()
	if len(hosts) == 0 && m.leaving.Load() && !m.closedToCallers.Load() {
		hosts = []fleet.Host{m.self()}
	}
	if m.anyCutOff() {
		if reaching := lo.Reject(hosts, func(h fleet.Host, _ int) bool { return m.isCutOff(h) }); 2*len(reaching) >= len(hosts) {
			hosts = reaching
		}
	}
	var addresses, otherZones []string
	for _, h := range hosts {
		if h.Zone == zone {
			addresses = append(addresses, h.Callers)
		} else {
			otherZones = append(otherZones, h.Callers)
		}
	}
	if len(addresses) == 0 {
		addresses = otherZones
	}
	if n := len(addresses); n > maxAddresses {
		addresses = addresses[:maxAddresses]
	}
	return addresses, min(DirectoryTTL, m.settings.Bounds.DirectoryTTL)
}

// maxAddresses is the maximum number of addresses in an answer of the directory.
// Callers read no more.
const maxAddresses = 64

// DirectoryTTL is the maximum time for which callers may use an answer of the
// directory. It is short so that callers soon leave a host that stops.
const DirectoryTTL cicadapitch.Millis = 2000

// Hosts returns the other available hosts, followed by this host if it is ready. The caller must not
// modify the result.
func (m *Membership) Hosts() []fleet.Host { return m.rankedHosts().hosts }

// availableHosts lists what Hosts returns.
func (m *Membership) availableHosts(now cicadapitch.Instant) []fleet.Host {
	v := m.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []fleet.Host
	for _, h := range v.Hosts {
		if h.Incarnation != m.incarnation && m.available(now, h) {
			out = append(out, h)
		}
	}
	if m.Ready() {
		out = append(out, m.self())
	}
	return out
}

// RecentHosts returns the hosts that are registered or were until lately, this one included.
func (m *Membership) RecentHosts() []cicadapitch.HostID {
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	recent := map[cicadapitch.HostID]bool{m.settings.Host: true}
	for _, h := range m.view.Load().Hosts {
		recent[h.ID] = true
	}
	for id, at := range m.seenAt {
		if now.Sub(at) < recentHostTime {
			recent[id] = true
		}
	}
	return slices.Collect(maps.Keys(recent))
}

// HostCount returns the number of registered hosts, available or not, since an
// unavailable host may still send work. It always counts this host.
func (m *Membership) HostCount() int {
	v := m.View()
	n := 1
	for _, h := range v.Hosts {
		if h.Incarnation != m.incarnation {
			n++
		}
	}
	return n
}

func (m *Membership) self() fleet.Host {
	return fleet.Host{
		ID: m.settings.Host, Incarnation: m.incarnation, Zone: m.settings.Zone,
		Callers: m.settings.CallerListen, Peers: m.settings.PeerAddress(),
	}
}

// RecordEnded records that a host's process has ended: its address refuses connections, or
// another process answers there. The host is unavailable until its next heartbeat.
func (m *Membership) RecordEnded(h fleet.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, now := m.peers[h.Incarnation], m.clock.Now()
	if p == nil {
		return
	}
	if p.endedAt <= p.receivedAt {
		m.log.Info().Str("Host", string(h.ID)).Str("Incarnation", h.Incarnation).Msg("host ended")
	}
	p.endedAt = now
	m.dropRanking()
}

// RunningHosts returns the registered hosts whose processes are not known to have ended, this one included:
// those that may have requests, whether or not this host hears of them.
func (m *Membership) RunningHosts() []fleet.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	running := []fleet.Host{m.self()}
	for _, h := range m.view.Load().Hosts {
		p := m.peers[h.Incarnation]
		if h.Incarnation != m.incarnation && (p == nil || p.endedAt <= p.receivedAt) {
			running = append(running, h)
		}
	}
	return running
}

// available reports whether another host takes callers. A host whose process was found to
// have ended less than downReportTTL ago is unavailable, unless it sent a heartbeat since. A host that is
// not monitored and has sent no recent heartbeat is available unless it was reported
// down less than downReportTTL ago. Every other host needs a recent heartbeat with
// Ready, or a running firstHeartbeatGrace. The caller holds mu.
func (m *Membership) available(now cicadapitch.Instant, h fleet.Host) bool {
	p := m.peers[h.Incarnation]
	if p == nil || p.endedAt > p.receivedAt && now.Sub(p.endedAt) < downReportTTL {
		return false
	}
	if !m.monitored[h.Incarnation] && now.Sub(p.receivedAt) >= livenessTimeout {
		return now.Sub(m.downAt[h.Incarnation]) >= downReportTTL
	}
	if p.receivedAt == 0 {
		return now.Sub(p.graceStart) < firstHeartbeatGrace
	}
	return p.Ready && now.Sub(p.receivedAt) < livenessTimeout
}

// Waits returns the queue waits of each shard, by shard key (see gateway.QueueWaits),
// as its owner reported them.
func (m *Membership) Waits() map[string][]cicadapitch.Millis {
	own := m.queueWaits()
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string][]cicadapitch.Millis{}
	for shard, w := range m.freshWaits(now) {
		out[shard] = w.Waits
	}
	maps.Copy(out, own)
	return out
}

// OwnersOf ranks the available hosts for a key. If there are none, it returns only
// this host. The first host owns the key; the following ones replace it in order if
// it fails. Hosts that know the same available hosts get the same ranking. The caller must not modify
// the result.
func (m *Membership) OwnersOf(key string) []fleet.Host {
	if owners := m.rankedHosts().rank(key); len(owners) > 0 {
		return owners
	}
	return []fleet.Host{m.self()}
}

// ShardOwners is OwnersOf with the hosts that are cut off from most endpoints last.
func (m *Membership) ShardOwners(key string) []fleet.Host {
	owners := m.OwnersOf(key)
	if !m.anyCutOff() {
		return owners
	}
	reaching, cutOff := lo.FilterReject(owners, func(h fleet.Host, _ int) bool { return !m.isCutOff(h) })
	return slices.Concat(reaching, cutOff)
}

// anyCutOff reports whether this host or another one may be cut off from most endpoints. The caller
// must not hold mu.
func (m *Membership) anyCutOff() bool {
	if m.cutOff() {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.cutOffAt) > 0
}

// Relays returns the other available hosts that were not reported cut off lately, those with a
// recent heartbeat before the others if there are any.
func (m *Membership) Relays() []fleet.Host {
	candidates := lo.Reject(m.Hosts(), func(h fleet.Host, _ int) bool { return m.IsSelf(h) || m.isCutOff(h) })
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := lo.Filter(candidates, func(h fleet.Host, _ int) bool {
		p := m.peers[h.Incarnation]
		return p != nil && p.receivedAt > 0 && now.Sub(p.receivedAt) < livenessTimeout
	})
	if len(heard) > 0 {
		return heard
	}
	return candidates
}

// isCutOff reports whether a host, or this one, is cut off from most endpoints. The caller
// must not hold mu.
func (m *Membership) isCutOff(h fleet.Host) bool {
	if m.IsSelf(h) {
		return m.cutOff()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.cutOffAt[h.Incarnation]
	return ok && m.clock.Now().Sub(at) < cutOffReportTTL
}

// IsSelf reports whether h is this host.
func (m *Membership) IsSelf(h fleet.Host) bool { return h.Incarnation == m.incarnation }

// publish builds a new view from the state, updates peers for its hosts, drops expired
// down reports, and calls the onView functions. The caller holds mu.
func (m *Membership) publish(now cicadapitch.Instant) {
	v := m.state.View()
	for _, h := range m.view.Load().Hosts {
		m.seenAt[h.ID] = now
	}
	maps.DeleteFunc(m.seenAt, func(_ cicadapitch.HostID, at cicadapitch.Instant) bool { return now.Sub(at) >= recentHostTime })
	listed := make(map[string]bool, len(v.Hosts))
	for _, h := range v.Hosts {
		m.seenAt[h.ID] = now
		listed[h.Incarnation] = true
		if m.peers[h.Incarnation] == nil {
			m.peers[h.Incarnation] = &peerState{graceStart: now}
		}
	}
	maps.DeleteFunc(m.peers, func(incarnation string, _ *peerState) bool { return !listed[incarnation] })
	maps.DeleteFunc(m.cutOffAt, func(_ string, at cicadapitch.Instant) bool { return now.Sub(at) >= cutOffReportTTL })
	maps.DeleteFunc(m.downAt, func(_ string, at cicadapitch.Instant) bool { return now.Sub(at) >= downReportTTL })
	m.view.Store(v)
	m.dropRanking()
	for _, f := range m.onView {
		f(v)
	}
}
