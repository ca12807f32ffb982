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
	"cicadapitch.example/cicadapitch/mesh"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// MetricsPort is where each host serves its metrics, at /metrics.
	MetricsPort = 9464
	// memoryPart is the part of the host's memory at which the garbage
	// collector works harder, as a divisor.
	memoryPart = 2
	// stopWaiting is how long after SIGTERM requests may wait for an engine. A
	// stream that starts then ends before the kill.
	stopWaiting cicadapitch.Millis = 2500
	// stopListening is how long before the kill no new connection is taken.
	// Callers may keep an answer of the directory that names the host until then.
	stopListening cicadapitch.Millis = 1200
	// endMargin is left before the kill for the last answers.
	endMargin cicadapitch.Millis = 400
)

// Host is one host on the platform.
type Host struct {
	settings *platform.Settings
	clock    cicadapitch.Clock
	log      zerolog.Logger
	mesh     *mesh.Mesh
	gateway  *gateway.Gateway
	ingress  *platform.Ingress
	metrics  tally.TestScope
}

// New wires a host. It opens no connection.
func New(s *platform.Settings, log zerolog.Logger, clock cicadapitch.Clock) (*Host, error) {
	roles := do.New()
	do.ProvideValue(roles, s)
	do.ProvideValue(roles, log)
	do.ProvideValue[cicadapitch.Clock](roles, clock)
	do.ProvideValue(roles, tally.NewTestScope("", nil))
	do.Provide(roles, newMesh)
	do.Provide(roles, newGateway)
	g, err := do.Invoke[*gateway.Gateway](roles)
	if err != nil {
		return nil, err
	}
	return &Host{
		settings: s, clock: clock, log: log,
		mesh: do.MustInvoke[*mesh.Mesh](roles), gateway: g,
		ingress: platform.NewIngress(g, clock),
		metrics: do.MustInvoke[tally.TestScope](roles),
	}, nil
}

func newMesh(i do.Injector) (*mesh.Mesh, error) {
	return mesh.New(do.MustInvoke[*platform.Settings](i),
		mesh.WithLog(do.MustInvoke[zerolog.Logger](i)),
		mesh.WithClock(do.MustInvoke[cicadapitch.Clock](i))), nil
}

func newGateway(i do.Injector) (*gateway.Gateway, error) {
	m := do.MustInvoke[*mesh.Mesh](i)
	g := gateway.New(do.MustInvoke[*platform.Settings](i), m,
		gateway.WithLog(do.MustInvoke[zerolog.Logger](i)),
		gateway.WithClock(do.MustInvoke[cicadapitch.Clock](i)),
		gateway.WithMetrics(do.MustInvoke[tally.TestScope](i)))
	m.OnView(g.SetView)
	m.SetFigures(g.Loads, g.Owner().Waits)
	return g, nil
}

// Run serves until SIGTERM, and then until the work has ended.
func (h *Host) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(h.settings.Memory) / memoryPart)
	term, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go h.followReloads(work)
	h.log.Info().Str("Host", string(h.settings.Host)).Str("Zone", string(h.settings.Zone)).
		Str("Incarnation", h.mesh.Incarnation()).Str("Callers", h.settings.CallerListen).Msg("start")
	callers, err := h.listen()
	if err != nil {
		return err
	}
	go h.mesh.Follow(work)
	go h.mesh.HoldEntry(work)
	go h.mesh.Beats(work)
	go h.join(work)
	<-term.Done()
	h.stop(callers)
	return nil
}

// listen opens the listeners and serves callers, the directory, the platform's
// question for readiness, and metrics.
func (h *Host) listen() (*http.Server, error) {
	l, err := net.Listen("tcp", h.settings.CallerListen)
	if err != nil {
		return nil, err
	}
	callers, wrapped := platform.NewCallerServer(h.ingress, l)
	go h.serve(callers, wrapped)
	metrics := net.JoinHostPort(h.settings.IP, strconv.Itoa(MetricsPort))
	mux := http.NewServeMux()
	mux.Handle("/metrics", metricsHandler(h.metrics))
	for address, handler := range map[string]http.Handler{
		h.settings.ReadyListen:     platform.NewReadyHandler(h.mesh),
		h.settings.DirectoryListen: platform.NewDirectoryHandler(h.mesh),
		metrics:                    mux,
	} {
		l, err := net.Listen("tcp", address)
		if err != nil && address == metrics {
			h.log.Error().Err(err).Msg("metrics are not served; free the port")
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
		h.log.Error().Str("Address", l.Addr().String()).Err(err).Msg("listener ended")
	}
}

// join starts the exchange with other hosts once the deployment's secret is
// known.
func (h *Host) join(ctx context.Context) {
	secret, err := h.mesh.Secret(ctx)
	if err != nil {
		return // ctx has ended
	}
	server := peer.NewServer(secret, peer.WithLog(h.log))
	dialer := peer.NewDialer(h.settings.Host, secret, peer.WithLog(h.log))
	h.gateway.Join(server)
	h.mesh.Join(server, dialer)
	l, err := net.Listen("tcp", net.JoinHostPort(h.settings.IP, strconv.Itoa(h.settings.PeerPort)))
	if err != nil {
		h.log.Error().Err(err).Msg("other hosts cannot connect; free the port")
		return
	}
	mux := http.NewServeMux()
	mux.Handle(peer.Path, server)
	h.serve(&http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}, l)
}

// stop takes the host out of the directory, takes new connections while callers
// may still know it, turns away what waits, and waits for the work that was begun.
func (h *Host) stop(callers *http.Server) {
	began := h.clock.Now()
	h.log.Info().Msg("stop requested")
	h.ingress.CloseConnections()
	ctx, cancel := context.WithTimeout(context.Background(), (h.settings.Bounds.ShutdownGrace - endMargin).Duration())
	defer cancel()
	go h.mesh.Leave(ctx)
	// The only error is that the time is over, which Shutdown sees too.
	_ = h.clock.Sleep(ctx, min(stopWaiting, h.settings.Bounds.ShutdownGrace/3))
	h.gateway.Stop()
	_ = h.clock.Sleep(ctx, h.settings.Bounds.ShutdownGrace-stopListening-h.clock.Now().Sub(began))
	err := callers.Shutdown(ctx)
	h.log.Info().Int64("TookMs", int64(h.clock.Now().Sub(began))).Err(err).Msg("stop")
}

// followReloads reports changed settings. What they may change, the store holds.
func (h *Host) followReloads(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		_, err := platform.ReadSettings(platform.SettingsPath())
		h.log.Info().Err(err).Msg("reload")
	}
}
