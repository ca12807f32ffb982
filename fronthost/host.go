package fronthost

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/do/v2"
	"github.com/uber-go/tally/v4"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/gateway"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/placement"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/quarantine"
	"cicadapitch.example/cicadapitch/relay"
)

const (
	// MetricsPort is the port on which each host serves its metrics, at /metrics.
	MetricsPort = 9464
	// memoryLimitDivisor divides the host's memory to give the soft memory limit, near
	// which the garbage collector runs more often.
	memoryLimitDivisor = 2
)

// Host is one host on the platform. Create it with New.
type Host struct {
	settings   *platform.Settings
	clock      cicadapitch.Clock
	log        zerolog.Logger
	membership *membership.Membership
	gateway    *gateway.Gateway
	ingress    *platform.Ingress
	// systemDial opens connections to other hosts. It is nil for the default.
	systemDial platform.DialFunc
	// metrics is a TestScope because metricsHandler reads its snapshots.
	metrics tally.TestScope
}

// Option configures a Host.
type Option func(*options)

type options struct {
	dial platform.DialFunc
	// systemDial is nil for the default.
	systemDial platform.DialFunc
}

// WithEndpointDial sets the function that opens connections to endpoints. The default is
// platform.DialEndpoint.
func WithEndpointDial(f platform.DialFunc) Option { return func(o *options) { o.dial = f } }

// WithSystemDial sets the function that opens connections to other hosts, but for those that carry
// relayed bytes, and to the platform's store. The defaults are those of peer.Dialer and
// platform.Store.
func WithSystemDial(f platform.DialFunc) Option { return func(o *options) { o.systemDial = f } }

// New assembles a host from the settings. It opens no connection and no listener.
func New(s *platform.Settings, log zerolog.Logger, clock cicadapitch.Clock, opts ...Option) (*Host, error) {
	o := options{dial: platform.DialEndpoint}
	for _, opt := range opts {
		opt(&o)
	}
	injector := do.New()
	do.ProvideValue(injector, o.dial)
	metrics := tally.NewTestScope("", nil)
	do.ProvideValue(injector, o.newStore(s, metrics))
	do.ProvideValue(injector, s)
	do.ProvideValue(injector, log)
	do.ProvideValue[cicadapitch.Clock](injector, clock)
	do.ProvideValue(injector, metrics)
	do.ProvideValue(injector, quarantine.NewLedger())
	do.ProvideValue(injector, placement.NewRateLimits())
	do.Provide(injector, newMembership)
	do.Provide(injector, newGateway)
	g, err := do.Invoke[*gateway.Gateway](injector)
	if err != nil {
		return nil, err
	}
	scope := do.MustInvoke[tally.TestScope](injector)
	holds := platform.NewHolds(s.MemoryBudget(), clock, platform.WithHoldsLog(log), platform.WithHoldsMetrics(scope))
	return &Host{
		settings: s, clock: clock, log: log,
		membership: do.MustInvoke[*membership.Membership](injector), gateway: g,
		ingress: platform.NewIngress(g, clock, platform.WithHolds(holds), platform.WithRequestTimes(g.RequestTimes)), systemDial: o.systemDial,
		metrics: scope,
	}, nil
}

// newStore returns a client of the store in the settings.
func (o options) newStore(s *platform.Settings, metrics tally.Scope) *platform.Store {
	opts := []platform.StoreOption{platform.WithStoreMetrics(metrics)}
	if o.systemDial != nil {
		opts = append(opts, platform.WithDialContext(o.systemDial))
	}
	return platform.NewStore([]string{s.Store.URL()}, opts...)
}

func newMembership(i do.Injector) (*membership.Membership, error) {
	return membership.New(do.MustInvoke[*platform.Settings](i),
		membership.WithLog(do.MustInvoke[zerolog.Logger](i)),
		membership.WithStore(do.MustInvoke[*platform.Store](i)),
		membership.WithQuarantine(do.MustInvoke[*quarantine.Ledger](i)),
		membership.WithRateLimits(do.MustInvoke[*placement.RateLimits](i)),
		membership.WithMetrics(do.MustInvoke[tally.TestScope](i)),
		membership.WithClock(do.MustInvoke[cicadapitch.Clock](i))), nil
}

func newGateway(i do.Injector) (*gateway.Gateway, error) {
	m := do.MustInvoke[*membership.Membership](i)
	g := gateway.New(do.MustInvoke[*platform.Settings](i), m,
		gateway.WithLog(do.MustInvoke[zerolog.Logger](i)),
		gateway.WithQuarantine(do.MustInvoke[*quarantine.Ledger](i)),
		gateway.WithRateLimits(do.MustInvoke[*placement.RateLimits](i)),
		gateway.WithClock(do.MustInvoke[cicadapitch.Clock](i)),
		gateway.WithEndpointDial(do.MustInvoke[platform.DialFunc](i)),
		gateway.WithMetrics(do.MustInvoke[tally.TestScope](i)))
	m.OnView(g.SetView)
	m.SetLoadSources(g.Loads, g.Shards().Waits)
	m.SetEngineWork(g.EngineWork)
	m.SetCutOff(g.CutOff)
	m.SetOrigins(g.Origins())
	return g, nil
}

// Run serves until SIGTERM, an interrupt or the end of ctx, and then shuts down
// gracefully. It returns an error only if it cannot listen for callers, readiness
// checks or directory requests. Other listeners that fail are logged.
func (h *Host) Run(ctx context.Context) error {
	h.limitMemory()
	terminatedCtx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go h.checkSettings(workCtx, hangups)
	h.log.Info().Str("Host", string(h.settings.Host)).Str("Zone", string(h.settings.Zone)).
		Str("Incarnation", h.membership.Incarnation()).Str("Callers", h.settings.CallerListen).Msg("start")
	callers, err := h.startListeners()
	if err != nil {
		return err
	}
	go h.membership.FollowStore(workCtx)
	go h.membership.KeepRegistered(workCtx)
	go h.membership.RunHeartbeats(workCtx)
	go h.servePeers(workCtx)
	go h.gateway.RunRelays(workCtx)
	go h.gateway.RunRollouts(workCtx)
	go h.membership.StoreOrigins(workCtx)
	<-terminatedCtx.Done()
	h.shutDown(callers)
	return nil
}

// limitMemory sets the soft limit of the garbage collector. Settings without a usable memory limit are logged.
func (h *Host) limitMemory() {
	budget := h.settings.MemoryBudget()
	if budget == 0 {
		h.log.Warn().Int64("MemoryBytes", int64(h.settings.Memory)).Msg("no usable memory_mb in the settings; nothing bounds what requests hold")
		return
	}
	limit := int64(h.settings.Memory) / memoryLimitDivisor
	debug.SetMemoryLimit(limit)
	h.log.Info().Int64("MemoryBytes", int64(h.settings.Memory)).Int64("CollectorBytes", limit).Int64("BudgetBytes", int64(budget)).Msg("memory limits")
}

// startListeners opens the listeners for callers, readiness checks of the platform, the
// directory and metrics, and serves them. It returns the server for callers. A
// metrics port that is in use is logged and otherwise ignored.
func (h *Host) startListeners() (*http.Server, error) {
	l, err := net.Listen("tcp", h.settings.CallerListen)
	if err != nil {
		return nil, err
	}
	callers, limited := platform.NewCallerServer(h.ingress, l)
	go h.serve(callers, limited)
	metricsAddress := net.JoinHostPort(h.settings.IP, strconv.Itoa(MetricsPort))
	mux := http.NewServeMux()
	mux.Handle("/metrics", metricsHandler(h.metrics))
	for address, handler := range map[string]http.Handler{
		h.settings.ReadyListen:     platform.NewReadyHandler(h.membership),
		h.settings.DirectoryListen: platform.NewDirectoryHandler(h.membership),
		metricsAddress:             mux,
	} {
		l, err := net.Listen("tcp", address)
		if err != nil && address == metricsAddress {
			h.log.Error().Err(err).Msg("cannot listen for metrics; they are not served")
			continue
		}
		if err != nil {
			return nil, err
		}
		go h.serve(&http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}, l)
	}
	return callers, nil
}

func (h *Host) serve(s *http.Server, l net.Listener) {
	s.ErrorLog = nil
	if err := s.Serve(l); err != nil && err != http.ErrServerClosed {
		h.log.Error().Str("Address", l.Addr().String()).Err(err).Msg("listener failed")
	}
}

// servePeers waits for the deployment's secret, opens the port for other hosts, enables calls to
// them, and then serves theirs. The host registers once calls are enabled, and others take a host whose
// port is closed for ended. If the port is in use, servePeers logs that and returns.
func (h *Host) servePeers(ctx context.Context) {
	secret, err := h.membership.Secret(ctx)
	if err != nil {
		return // ctx has ended
	}
	server := peer.NewServer(secret, peer.WithLog(h.log))
	opts := []peer.Option{peer.WithLog(h.log)}
	if h.systemDial != nil {
		opts = append(opts, peer.WithDialContext(h.systemDial))
	}
	newDialer := func() *peer.Dialer { return peer.NewDialer(h.settings.Host, secret, opts...) }
	h.gateway.RegisterHandlers(server)
	l, err := net.Listen("tcp", h.settings.PeerAddress())
	h.membership.EnablePeerCalls(server, membership.Dialers{Requests: newDialer(), Control: newDialer(), Bulk: newDialer()})
	if err != nil {
		h.log.Error().Err(err).Msg("cannot listen for other hosts; they cannot connect to this host")
		return
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, server)
	mux.Handle(relay.Path, h.gateway.RelayHandler())
	h.serve(&http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}, l)
}

// checkSettings reads the settings file on each hangup and logs whether it is valid. The
// running host does not apply it; what may change while it runs is in the store.
func (h *Host) checkSettings(ctx context.Context, hangups <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		_, err := platform.ReadSettings(platform.SettingsPath())
		h.log.Info().Err(err).Msg("reload")
	}
}
