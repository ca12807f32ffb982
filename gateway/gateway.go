package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strings"
	"sync"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/placement"
	"cicadapitch.example/cicadapitch/platform"
)

// Mesh is what the gateway needs to know of the deployment.
type Mesh interface {
	View() *fleet.View
	Loads() map[cicadapitch.EndpointID]int
	Waits() map[string]Waits
	HostCount() int
	Hosts() []fleet.Host
	OwnersOf(key string) []fleet.Host
	IsSelf(h fleet.Host) bool
	Dialer() *peer.Dialer
}

// Gateway serves requests. It implements platform.RequestHandler.
type Gateway struct {
	mesh      Mesh
	endpoints *platform.EndpointClient
	clock     cicadapitch.Clock
	log       zerolog.Logger
	metrics   tally.Scope
	bounds    platform.Bounds
	owner     *Owner
	// stopped ends once requests that wait are turned away.
	stopped context.Context
	stop    context.CancelFunc

	mu      sync.Mutex
	chooser *placement.Chooser
	budgets map[catalog.ServiceID]*placement.Budget
	// firstEvent is the smoothed time to a first event by route.
	firstEvent map[string]float64
}

// Option changes a Gateway.
type Option func(*Gateway)

// WithLog sets the logger.
func WithLog(log zerolog.Logger) Option { return func(g *Gateway) { g.log = log } }

// WithMetrics sets where counters and latencies go.
func WithMetrics(s tally.Scope) Option { return func(g *Gateway) { g.metrics = s } }

// WithClock sets the clock.
func WithClock(c cicadapitch.Clock) Option { return func(g *Gateway) { g.clock = c } }

// New returns a gateway for the host that s describes.
func New(s *platform.Settings, mesh Mesh, opts ...Option) *Gateway {
	g := &Gateway{
		mesh: mesh, endpoints: platform.NewEndpointClient(), clock: cicadapitch.NewSystemClock(),
		log: zerolog.Nop(), metrics: tally.NoopScope, bounds: s.Bounds,
		chooser:    placement.NewChooser(s.Zone, s.Bounds.ColdExcess, s.Bounds.ColdSlack),
		budgets:    map[catalog.ServiceID]*placement.Budget{},
		firstEvent: map[string]float64{},
	}
	for _, opt := range opts {
		opt(g)
	}
	g.stopped, g.stop = context.WithCancel(context.Background())
	g.owner = newOwner(g.endpoints, g.clock, g.log, g.metrics)
	g.owner.fetched = g.free
	g.owner.owns = func(s batch.Shard) bool {
		_, self := g.ownerOf(s)
		return self
	}
	return g
}

// Stop turns away the requests that no endpoint has got yet, and those that come,
// except for plain services, whose calls are short.
func (g *Gateway) Stop() { g.stop() }

// Owner returns the owner of stage services at this host.
func (g *Gateway) Owner() *Owner { return g.owner }

// SetView takes a new view of the deployment.
func (g *Gateway) SetView(v *fleet.View) {
	g.owner.setView(v)
	if v.Catalog == nil {
		return
	}
	known := map[cicadapitch.EndpointID]bool{}
	for s := range v.Catalog.Services {
		for _, e := range v.Endpoints(s) {
			known[e.ID] = true
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.Retain(func(id cicadapitch.EndpointID) bool { return known[id] })
}

// Loads returns this host's running calls by endpoint.
func (g *Gateway) Loads() map[cicadapitch.EndpointID]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.chooser.Loads()
}

// Limits implements platform.RequestHandler.
func (g *Gateway) Limits() catalog.Limits {
	if c := g.mesh.View().Catalog; c != nil {
		return c.Limits
	}
	return catalog.Limits{}
}

// Serve implements platform.RequestHandler.
func (g *Gateway) Serve(ctx context.Context, r *catalog.Request, a *platform.ResponseWriter) {
	t, err := g.admit(r)
	if err != nil {
		g.refuse(r, a, err)
		return
	}
	t.answer = a
	g.metrics.Tagged(map[string]string{"Route": t.route.Name}).Counter("Requests").Inc(1)
	left := t.limit.Sub(g.clock.Now())
	ctx, cancel := context.WithTimeoutCause(ctx, left.Duration(), errLimit)
	defer cancel()
	if t.service.Engine != nil {
		err = t.generateUntilStop(ctx)
	} else {
		err = t.plain(ctx)
	}
	t.finish(ctx, err)
}

var errLimit = cicadapitch.NewError(cicadapitch.DeadlineExceeded,
	"the time of the request is over", "send it again where that is harmless")

var errStopping = cicadapitch.NewNotRun("the host is stopping", stoppingRetry)

// stoppingRetry is when a caller may come back, to another host.
const stoppingRetry cicadapitch.Millis = 50

// generateUntilStop gives the request up if the host stops before an engine has
// got it.
func (t *task) generateUntilStop(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	unlink := context.AfterFunc(t.g.stopped, func() {
		if t.phase.CompareAndSwap(waiting, turnedAway) {
			cancel(errStopping)
		}
	})
	defer unlink()
	err := t.generate(ctx)
	if errors.Is(context.Cause(ctx), errStopping) {
		return errStopping
	}
	return err
}

// admit finds the route and the customer of a request.
func (g *Gateway) admit(r *catalog.Request) (*task, error) {
	v := g.mesh.View()
	if v.Catalog == nil {
		return nil, cicadapitch.NewNotRun("the host has no configuration yet", notReadyRetry)
	}
	route := v.Catalog.Match(hostName(r.Host), r.Path)
	if route == nil {
		return nil, cicadapitch.NewError(cicadapitch.NotFound, "no route matches", "check the host and the path")
	}
	t := &task{g: g, view: v, request: r, route: route, priority: route.Priority}
	if v.Catalog.HasCustomers() && !route.Anonymous {
		c := v.Catalog.CustomerOf(r.Key)
		if c == nil {
			return nil, cicadapitch.NewError(cicadapitch.Denied, "the key is unknown", "use a key of a customer")
		}
		t.customer = c.Name
		if c.HasPriority {
			t.priority = c.Priority
		}
	}
	name := route.Service(rand.Float64())
	t.service = v.Catalog.Services[name]
	if t.service == nil {
		return nil, cicadapitch.NewNotRun("service "+string(name)+" is not configured", notReadyRetry)
	}
	t.setLimits()
	g.mu.Lock()
	g.budget(name).Request(g.clock.Now())
	g.mu.Unlock()
	return t, nil
}

// notReadyRetry is when a caller may come back to a host that has just started.
const notReadyRetry cicadapitch.Millis = 300

func (g *Gateway) refuse(r *catalog.Request, a *platform.ResponseWriter, err error) {
	g.log.Info().Str("Id", string(r.ID)).Str("Host", r.Host).Str("Path", r.Path).
		Err(err).Msg("refused")
	g.metrics.Tagged(map[string]string{"Kind": cicadapitch.KindOf(err).String()}).Counter("Refusals").Inc(1)
	a.WriteError(err)
}

// budget returns the retry budget of a service. The caller holds mu.
func (g *Gateway) budget(s catalog.ServiceID) *placement.Budget {
	b := g.budgets[s]
	if b == nil {
		b = placement.NewBudget(g.bounds.RetryRatio, g.bounds.RetryExtra, g.bounds.RetryWindow)
		g.budgets[s] = b
	}
	return b
}

// hostName returns the host without a port, in lower case as routes hold it.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
