package mesh

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// beatInterval is the pause between heartbeats to one host.
	beatInterval cicadapitch.Millis = 400
	// beatTimeout bounds a heartbeat.
	beatTimeout cicadapitch.Millis = 1000
	// silentAfter is how long a host may be silent before callers are not sent
	// to it any more, well within the time that the contract allows.
	silentAfter cicadapitch.Millis = 1600
	// unheardGrace is how long a host counts as alive before its first heartbeat.
	unheardGrace cicadapitch.Millis = 1500
	// hostPrefix is the prefix of the hosts' own entries in the store.
	hostPrefix = "hosts/"
	// secretKey holds the key with which hosts prove to each other that they
	// belong to this deployment.
	secretKey = "deployment/secret"
)

// Mesh is a host's view of the deployment.
type Mesh struct {
	settings    *platform.Settings
	clock       cicadapitch.Clock
	log         zerolog.Logger
	store       *platform.Store
	incarnation string
	loads       func() map[cicadapitch.EndpointID]int
	waits       func() map[string][]cicadapitch.Millis
	onView      []func(*fleet.View)

	view    atomic.Pointer[fleet.View]
	leaving atomic.Bool
	// left ends when the host begins to leave; toldLeaving is true once heartbeats
	// have said so. Only Beats uses it.
	left        context.Context
	leave       context.CancelFunc
	toldLeaving bool
	dialer      atomic.Pointer[peer.Dialer]

	mu     sync.Mutex
	mirror *fleet.Mirror
	state  *fleet.State
	// heard holds what other hosts said last, by incarnation.
	heard map[string]*heardHost
	// watched are the hosts that get heartbeats from here.
	watched map[string]bool
	// rumors holds when a host was last found down, by incarnation.
	rumors map[string]cicadapitch.Instant
	// told holds the waits of stage services as other hosts told them.
	told map[string]heardWaits
	// lapsed holds removals that wait for the endpoint to come back.
	lapsed map[cicadapitch.EndpointID]cicadapitch.Instant
	// storeLost is when the store failed last, storeBack when it answered again.
	storeLost, storeBack cicadapitch.Instant
	storeUp              bool
	// awayHeard is when another host last said that it does not reach the store.
	awayHeard cicadapitch.Instant
	lease     cicadapitch.LeaseID
}

type heardHost struct {
	Beat
	at    cicadapitch.Instant
	first cicadapitch.Instant
}

// Option changes a Mesh.
type Option func(*Mesh)

// WithLog sets the logger.
func WithLog(log zerolog.Logger) Option { return func(m *Mesh) { m.log = log } }

// WithClock sets the clock.
func WithClock(c cicadapitch.Clock) Option { return func(m *Mesh) { m.clock = c } }

// New returns a mesh that has read nothing yet.
func New(s *platform.Settings, opts ...Option) *Mesh {
	m := &Mesh{
		settings: s, clock: cicadapitch.NewSystemClock(), log: zerolog.Nop(),
		store: platform.NewStore([]string{s.Store.URL()}), incarnation: newIncarnation(),
		loads:  func() map[cicadapitch.EndpointID]int { return nil },
		waits:  func() map[string][]cicadapitch.Millis { return nil },
		mirror: fleet.NewMirror(), state: fleet.NewState(),
		rumors: map[string]cicadapitch.Instant{}, told: map[string]heardWaits{},
		heard: map[string]*heardHost{}, lapsed: map[cicadapitch.EndpointID]cicadapitch.Instant{},
	}
	m.left, m.leave = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(m)
	}
	m.view.Store(m.state.View())
	return m
}

func newIncarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// OnView adds a function that gets each new view. It must not block.
func (m *Mesh) OnView(f func(*fleet.View)) { m.onView = append(m.onView, f) }

// SetFigures sets what heartbeats say about the host's use of engines and about
// the stage services that it owns. It is called before Join.
func (m *Mesh) SetFigures(loads func() map[cicadapitch.EndpointID]int, waits func() map[string][]cicadapitch.Millis) {
	m.loads, m.waits = loads, waits
}

// View returns what the host believes now.
func (m *Mesh) View() *fleet.View { return m.view.Load() }

// Dialer returns the dialer for calls to other hosts, or nil before the
// deployment's secret is known.
func (m *Mesh) Dialer() *peer.Dialer { return m.dialer.Load() }

// Incarnation identifies this life of the process.
func (m *Mesh) Incarnation() string { return m.incarnation }

// Ready implements platform.Directory.
func (m *Mesh) Ready() bool { return m.View().Catalog != nil && !m.leaving.Load() }

// Leave makes the host unready and ends its entry in the store.
func (m *Mesh) Leave(ctx context.Context) {
	m.leaving.Store(true)
	m.leave()
	m.mu.Lock()
	lease := m.lease
	m.lease = 0
	m.mu.Unlock()
	if lease == 0 {
		return
	}
	if err := m.store.Revoke(ctx, lease); err != nil {
		m.log.Warn().Err(err).Msg("the host's entry could not be removed; its lease will end")
	}
}

// Addresses implements platform.Directory: the hosts of the caller's zone
// first, then this host and the others.
func (m *Mesh) Addresses(zone cicadapitch.ZoneID) ([]string, cicadapitch.Millis) {
	var near, far []string
	for _, h := range m.Hosts() {
		if h.Zone == zone {
			near = append(near, h.Callers)
		} else {
			far = append(far, h.Callers)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if n := len(near); n > maxAddresses {
		near = near[:maxAddresses]
	}
	return near, min(directoryTTL, m.settings.Bounds.DirectoryTTL)
}

const (
	// maxAddresses is the most that a caller reads.
	maxAddresses = 64
	// directoryTTL is how long callers use an answer: short, so that they soon
	// leave a host that stops.
	directoryTTL cicadapitch.Millis = 2000
)

// Hosts returns the hosts that take callers, this one among them.
func (m *Mesh) Hosts() []fleet.Host {
	now := m.clock.Now()
	v := m.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []fleet.Host
	for _, h := range v.Hosts {
		if h.Incarnation != m.incarnation && m.alive(now, h) {
			out = append(out, h)
		}
	}
	if m.Ready() {
		out = append(out, m.self())
	}
	return out
}

// HostCount returns how many hosts may be sending work, silent ones included.
func (m *Mesh) HostCount() int {
	v := m.View()
	n := 1
	for _, h := range v.Hosts {
		if h.Incarnation != m.incarnation {
			n++
		}
	}
	return n
}

func (m *Mesh) self() fleet.Host {
	return fleet.Host{
		ID: m.settings.Host, Incarnation: m.incarnation, Zone: m.settings.Zone,
		Callers: m.settings.CallerListen, Peers: m.peerAddress(),
	}
}

// alive reports whether a host takes callers. The caller holds mu.
func (m *Mesh) alive(now cicadapitch.Instant, h fleet.Host) bool {
	heard := m.heard[h.Incarnation]
	if heard == nil {
		return false
	}
	if !m.watched[h.Incarnation] && now.Sub(heard.at) >= silentAfter {
		return now.Sub(m.rumors[h.Incarnation]) >= rumorLife
	}
	if heard.at == 0 {
		return now.Sub(heard.first) < unheardGrace
	}
	return heard.Ready && now.Sub(heard.at) < silentAfter
}

// Loads estimates the requests of all other hosts at each engine, from those that
// were heard lately.
func (m *Mesh) Loads() map[cicadapitch.EndpointID]int {
	now := m.clock.Now()
	out := map[cicadapitch.EndpointID]int{}
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := 0
	for _, h := range m.heard {
		if h.at > 0 && now.Sub(h.at) < silentAfter {
			heard++
			for id, n := range h.Loads {
				out[id] += n
			}
		}
	}
	others := len(m.view.Load().Hosts) - 1
	if heard > 0 && others > neighbours && heard < others {
		for id, n := range out {
			out[id] = n * others / heard
		}
	}
	return out
}

// Waits returns the waits of stage services, as their owners told them.
func (m *Mesh) Waits() map[string][]cicadapitch.Millis {
	own := m.waits()
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string][]cicadapitch.Millis{}
	for s, w := range m.freshWaits(now) {
		out[s] = w.Waits
	}
	maps.Copy(out, own)
	return out
}

// OwnersOf ranks the hosts for a key; the first owns it, the others stand in.
// Hosts with the same beliefs agree.
func (m *Mesh) OwnersOf(key string) []fleet.Host {
	hosts := m.Hosts()
	if len(hosts) == 0 {
		hosts = []fleet.Host{m.self()}
	}
	return fleet.Rank(key, hosts, func(h fleet.Host) string { return h.Incarnation })
}

// IsSelf reports whether h is this host.
func (m *Mesh) IsSelf(h fleet.Host) bool { return h.Incarnation == m.incarnation }

// publish builds a new view from the state. The caller holds mu.
func (m *Mesh) publish(now cicadapitch.Instant) {
	v := m.state.View()
	for _, h := range v.Hosts {
		if m.heard[h.Incarnation] == nil {
			m.heard[h.Incarnation] = &heardHost{first: now}
		}
	}
	maps.DeleteFunc(m.heard, func(inc string, _ *heardHost) bool {
		return !slices.ContainsFunc(v.Hosts, func(h fleet.Host) bool { return h.Incarnation == inc })
	})
	maps.DeleteFunc(m.rumors, func(_ string, at cicadapitch.Instant) bool { return now.Sub(at) >= rumorLife })
	m.view.Store(v)
	for _, f := range m.onView {
		f(v)
	}
}
