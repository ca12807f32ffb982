package propagation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/gateway"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

const (
	peerPort = 7740
	// callTraffic is the call that simulates other traffic between hosts, trafficBytes its
	// size.
	callTraffic  = "traffic"
	trafficBytes = 32 << 10
	// trafficTargets is the number of hosts to which a host sends such calls. Connections
	// between all of 88 hosts exceed the open files of one process.
	trafficTargets = 24
)

// name returns a random name of eight characters for a number.
func name(n int) string {
	return strconv.FormatUint(xxh3.HashString(strconv.Itoa(n)), 36)[:8]
}

// host is one host of the fleet.
type host struct {
	settings   *platform.Settings
	membership *membership.Membership
	gateway    *gateway.Gateway
	ingress    *platform.Ingress
	link       *platformtest.Link
	// late delays what other hosts send to this one, lateStore what the store answers.
	late, lateStore *platformtest.Delay
	// gate is in front of the store.
	gate    *platformtest.Gate
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu sync.Mutex
	// inForceAt holds when each version came into force.
	inForceAt map[int64]time.Time
	// regressed is set if an older version came into force after a newer one.
	version   int64
	regressed bool
	// usable holds the endpoints that take requests, leavingAt since when those that do not
	// any more are known not to.
	usable    map[cicadapitch.EndpointID]bool
	leavingAt map[cicadapitch.EndpointID]time.Time
	// knowledgeAges holds how old the knowledge of the endpoints was when requests came.
	knowledgeAges []cicadapitch.Millis
	// asked and served count the requests of callers.
	asked, served atomic.Int64
}

// Fleet is a running fleet with its store.
type Fleet struct {
	c     Case
	store *platformtest.Store
	hosts []*host
	// subnet is the third number of the hosts' addresses.
	subnet int32
	// version is the version of the last configuration and routes the number of its routes.
	version int64
	routes  int
	// busy is closed once the hosts send their traffic.
	busy chan struct{}
}

// nextSubnet gives each fleet addresses of its own.
var nextSubnet atomic.Int32

// Start starts a fleet and waits until all hosts have the first configuration and know each
// other. The caller must call Close.
func Start(c Case) (*Fleet, error) {
	f := &Fleet{c: c, store: platformtest.NewStore(platformtest.WithPageSize(50)), routes: c.Routes, subnet: nextSubnet.Add(1), busy: make(chan struct{})}
	if !c.calmStart {
		close(f.busy)
	}
	f.write(1)
	if err := f.startHosts(); err != nil {
		f.Close()
		return nil, err
	}
	for _, h := range f.hosts {
		if !waitFor(30*cicadapitch.Second, func() bool {
			v := h.membership.View()
			return v.Catalog != nil && len(v.Hosts) == c.Hosts && len(h.membership.Hosts()) == c.Hosts
		}) {
			f.Close()
			return nil, cicadapitch.NewError(cicadapitch.Unavailable, "host "+string(h.settings.Host)+" did not become ready", "run fewer hosts")
		}
	}
	if c.calmStart {
		close(f.busy)
	}
	return f, nil
}

// startHosts starts all hosts at once.
func (f *Fleet) startHosts() error {
	f.hosts = nil
	for i := range f.c.Hosts {
		h, err := f.startHost(platformtest.LoopbackAddress(int(f.subnet), i+1), i)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	return nil
}

// stopHosts ends all hosts without notice.
func (f *Fleet) stopHosts() {
	for _, h := range f.hosts {
		h.cancel()
	}
	for _, h := range f.hosts {
		h.running.Wait()
		h.gate.Close()
	}
}

// refuse makes the store refuse a share of the hosts, chosen at random.
func (f *Fleet) refuse(share float64) {
	for _, i := range rand.Perm(len(f.hosts))[:int(share*float64(len(f.hosts)))] {
		f.hosts[i].gate.Shut()
	}
}

func waitFor(timeout cicadapitch.Millis, done func() bool) bool {
	for end := time.Now().Add(timeout.Duration()); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}

// Close stops all hosts and the store.
func (f *Fleet) Close() {
	f.stopHosts()
	f.store.Close()
}

// write stores the configuration of a version with the current number of routes.
func (f *Fleet) write(version int64) {
	f.version = version
	f.store.Set(platformtest.ConfigKey, platformtest.Config(int(version), routes(0, f.routes), 14))
}

func (f *Fleet) startHost(ip string, i int) (*host, error) {
	h := &host{
		settings: &platform.Settings{
			Host: cicadapitch.HostID(fmt.Sprintf("host-%d", i)), IP: ip, Zone: cicadapitch.ZoneID(fmt.Sprintf("z%d", i%4)),
			PeerPort: peerPort, CallerListen: ip + ":8001",
			Store: platform.StoreSettings{Address: f.store.Address(), MinLease: 1000},
			Bounds: platform.Bounds{
				LeavingDelay: leavingDelay, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * cicadapitch.Second, ColdExcess: 1.5, ColdSlack: 5,
			},
		},
		link: platformtest.NewLink(f.c.LinkMbps), gate: platformtest.NewGate(f.store.Address()), inForceAt: map[int64]time.Time{},
		leavingAt: map[cicadapitch.EndpointID]time.Time{},
		late:      &platformtest.Delay{}, lateStore: &platformtest.Delay{},
	}
	h.membership = membership.New(h.settings, membership.WithStore(
		platform.NewStore([]string{"http://" + h.gate.Address()}, platform.WithDialContext(h.lateStore.Dial(h.link.DialContext)))))
	clock := cicadapitch.NewSystemClock()
	h.gateway = gateway.New(h.settings, h.membership, gateway.WithEndpointDial(f.c.dialFunc()))
	h.ingress = platform.NewIngress(h.gateway, clock)
	h.membership.OnView(h.recordView)
	h.membership.OnView(h.gateway.SetView)
	h.membership.SetLoadSources(h.gateway.Loads, h.gateway.Shards().Waits)
	l, err := net.Listen("tcp", h.settings.PeerAddress())
	if err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.running.Go(func() { h.membership.FollowStore(ctx) })
	h.running.Go(func() { h.membership.KeepRegistered(ctx) })
	h.running.Go(func() { h.membership.RunHeartbeats(ctx) })
	h.running.Go(func() { h.servePeers(ctx, h.late.Listener(h.link.Listener(l)), f) })
	return h, nil
}

// servePeers serves calls of other hosts until ctx ends.
func (h *host) servePeers(ctx context.Context, l net.Listener, f *Fleet) {
	defer l.Close()
	secret, err := h.membership.Secret(ctx)
	if err != nil {
		return // ctx has ended
	}
	server := peer.NewServer(secret)
	newDialer := func() *peer.Dialer {
		return peer.NewDialer(h.settings.Host, secret, peer.WithDialContext(h.late.Dial(h.link.DialContext)))
	}
	dialers := membership.Dialers{Requests: newDialer(), Control: newDialer(), Bulk: newDialer()}
	peer.Handle(server, callTraffic, func(context.Context, []byte) (struct{}, error) { return struct{}{}, nil })
	h.gateway.RegisterHandlers(server)
	h.membership.EnablePeerCalls(server, dialers)
	if f.c.Traffic > 0 {
		h.running.Go(func() {
			select {
			case <-ctx.Done():
			case <-f.busy:
				h.sendTraffic(ctx, dialers.Requests, f.c.Traffic*f.c.LinkMbps*1e6/8)
			}
		})
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, server)
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() {
		closed, cancel := context.WithCancel(context.Background())
		cancel()
		// The hosts stop at once; their calls may fail.
		_ = server.Close(closed)
		for _, d := range []*peer.Dialer{dialers.Requests, dialers.Control, dialers.Bulk} {
			_ = d.Close(closed)
		}
		_ = s.Close()
	})
	_ = s.Serve(l)
}

// sendTraffic sends calls to a few hosts, in random order, at bytesPerSecond until ctx ends.
func (h *host) sendTraffic(ctx context.Context, d *peer.Dialer, bytesPerSecond float64) {
	t := time.NewTicker(time.Duration(float64(trafficBytes) / bytesPerSecond * float64(time.Second)))
	defer t.Stop()
	body := make([]byte, trafficBytes)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		incarnation := h.membership.Incarnation()
		hosts := fleet.Rank(incarnation, h.membership.Hosts(), fleet.HostIncarnation)
		if len(hosts) == 0 {
			continue
		}
		to := hosts[rand.IntN(min(len(hosts), trafficTargets))]
		h.running.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
			defer cancel()
			_, _ = peer.Call[[]byte, struct{}](ctx, d, to.Peers, callTraffic, body)
		})
	}
}

// recordView records when versions come into force.
func (h *host) recordView(v *fleet.View) {
	if v.Catalog == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Catalog.Version < h.version {
		h.regressed = true
	}
	for n := h.version + 1; n <= v.Catalog.Version; n++ {
		h.inForceAt[n] = time.Now()
	}
	h.version = max(h.version, v.Catalog.Version)
	h.recordLeaving(v)
}

// serves reports whether the host has the route with a number in force.
func (h *host) serves(route int) bool {
	c := h.membership.View().Catalog
	host, path := routeKey(route)
	return c != nil && c.Match(host, path+"x") != nil
}

// inForce returns how long after at the version came into force on each host, and false if
// a host does not have it yet.
func (f *Fleet) inForce(version int64, at time.Time) ([]cicadapitch.Millis, bool) {
	var took []cicadapitch.Millis
	for _, h := range f.hosts {
		h.mu.Lock()
		since, ok := h.inForceAt[version]
		h.mu.Unlock()
		if !ok {
			return nil, false
		}
		took = append(took, cicadapitch.Millis(since.Sub(at).Milliseconds()))
	}
	return took, true
}

// usage returns the bytes that all hosts have sent and received and their reads and watches
// of the store.
func (f *Fleet) usage() (bytes cicadapitch.Bytes, reads int64) {
	bytes = lo.SumBy(f.hosts, func(h *host) cicadapitch.Bytes { return h.link.Sent() + h.link.Received() })
	return bytes, f.store.Calls().Reads()
}
