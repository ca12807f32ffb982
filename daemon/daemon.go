package daemon

import (
	"context"
	"encoding/hex"
	"net"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/samber/do/v2"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/claim"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/endpoint"
	"cicadapitch.example/cicadapitch/entry"
	"cicadapitch.example/cicadapitch/host"
	"cicadapitch.example/cicadapitch/order"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/rollout"
	"cicadapitch.example/cicadapitch/settings"
)

// Daemon runs one entry host: its roles and its HTTP servers.
type Daemon struct {
	settings *settings.Settings
	clock    cicadapitch.Clock
	log      zerolog.Logger
	injector do.Injector

	self       cicadapitch.Member
	group      *host.Group
	follower   *configuration.Follower
	syncer     *configuration.Syncer
	claims     *claim.Manager
	owner      *endpoint.Owner
	entry      *entry.Server
	orders     *order.Service
	peerServer *peer.Server
	dialer     *peer.Dialer
	suspects   *suspectSharer

	// acceptsCallers is set once this host is Ready and either every shard has an
	// owner or allShardsOwnedTimeout has passed. It stays true, also while the
	// host leaves. readySince is the time at which this host was first seen in
	// state Ready, or 0 before. Only updateMemberPeriodically writes these two
	// fields.
	acceptsCallers atomic.Bool
	// leaving is true once the host shuts down.
	leaving    atomic.Bool
	readySince cicadapitch.Instant
}

// Option sets an option of a Daemon.
type Option func(*Daemon)

// WithClock sets the clock. The default is the system clock.
func WithClock(c cicadapitch.Clock) Option { return func(d *Daemon) { d.clock = c } }

// WithLog sets the logger. The default discards all events.
func WithLog(log zerolog.Logger) Option { return func(d *Daemon) { d.log = log } }

// New constructs a daemon and its roles from settings that settings.Read has
// checked. It opens no connection. A deployment key that is not hexadecimal is an
// Invalid error.
func New(s *settings.Settings, opts ...Option) (*Daemon, error) {
	d := &Daemon{settings: s, clock: cicadapitch.NewSystemClock(), log: zerolog.Nop()}
	for _, opt := range opts {
		opt(d)
	}
	key, err := hex.DecodeString(s.DeploymentKey)
	if err != nil {
		return nil, cicadapitch.NewError(cicadapitch.Invalid,
			"the deployment key is not hexadecimal", "correct DeploymentKey in the settings")
	}
	d.injector = do.New()
	do.ProvideValue(d.injector, s)
	do.ProvideValue(d.injector, d.clock)
	do.ProvideValue(d.injector, d.log)
	do.ProvideValue(d.injector, deploymentKey(key))
	registerRoles(d.injector)
	return d, d.resolveRoles()
}

// resolveRoles constructs the roles that Daemon uses directly.
func (d *Daemon) resolveRoles() error {
	var err error
	if d.entry, err = do.Invoke[*entry.Server](d.injector); err != nil {
		return cicadapitch.Wrap(err)
	}
	if d.orders, err = do.Invoke[*order.Service](d.injector); err != nil {
		return cicadapitch.Wrap(err)
	}
	d.self = do.MustInvoke[cicadapitch.Member](d.injector)
	d.group = do.MustInvoke[*host.Group](d.injector)
	d.follower = do.MustInvoke[*configuration.Follower](d.injector)
	d.syncer = do.MustInvoke[*configuration.Syncer](d.injector)
	d.claims = do.MustInvoke[*claim.Manager](d.injector)
	d.owner = do.MustInvoke[*endpoint.Owner](d.injector)
	d.peerServer = do.MustInvoke[*peer.Server](d.injector)
	d.dialer = do.MustInvoke[*peer.Dialer](d.injector)
	d.suspects = do.MustInvoke[*suspectSharer](d.injector)
	return nil
}

// Run serves callers and peers until ctx ends or a later process runs under the
// same host id. Then it shuts down gracefully: running requests have until the end
// of ShutdownGraceMillis to complete. Run returns nil if they do. It returns an
// Unavailable error if it cannot listen, and an error if a server fails or if
// requests are still running after the grace period.
func (d *Daemon) Run(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", d.settings.PeerListen)
	if err != nil {
		return listenError("PeerListen", err)
	}
	callerListener, err := net.Listen("tcp", d.settings.CallerListen)
	if err != nil {
		_ = peerListener.Close()
		return listenError("CallerListen", err)
	}
	return d.serve(ctx, peerListener, callerListener)
}

// serve runs the roles and both HTTP servers on open listeners until ctx ends, the
// membership fails or a server fails.
func (d *Daemon) serve(ctx context.Context, peerListener, callerListener net.Listener) error {
	// The roles outlive ctx, because running requests need them until shutdown
	// is complete.
	roleCtx, stopRoles := context.WithCancel(context.WithoutCancel(ctx))
	defer stopRoles()
	d.registerPeerHandlers()
	callerServer := d.newCallerServer()
	peerHTTPServer := d.newPeerHTTPServer()
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- callerServer.Serve(callerListener) }()
	go func() { serveErrors <- peerHTTPServer.Serve(peerListener) }()
	ctx, beginShutdown := context.WithCancel(ctx)
	defer beginShutdown()
	d.startRoles(roleCtx, beginShutdown)
	d.log.Info().Str("Host", string(d.self.Host)).Str("Zone", string(d.self.Zone)).
		Str("CallerURL", d.self.CallerURL).Str("PeerAddress", d.self.PeerAddress).
		Uint64("Incarnation", uint64(d.self.Incarnation)).Msg("started")
	select {
	case err := <-serveErrors:
		return cicadapitch.Wrap(err)
	case <-ctx.Done():
		return d.shutDown(roleCtx, callerServer, peerHTTPServer)
	}
}

func (d *Daemon) registerPeerHandlers() {
	serveMembership(d.peerServer, d.group)
	serveConfiguration(d.peerServer, d.follower)
	serveAttempts(d.peerServer, d.self, d.owner)
	serveForwardedRequests(d.peerServer, d.self, d.entry)
	d.suspects.serve(d.peerServer)
}

// startRoles starts the background loops of the roles, which run until ctx ends.
// beginShutdown is called if the membership fails.
func (d *Daemon) startRoles(ctx context.Context, beginShutdown func()) {
	d.follower.Subscribe(func(*cicadapitch.Configuration) { d.updateMember() })
	go d.runMembership(ctx, beginShutdown)
	go func() { _ = d.claims.Run(ctx) }()
	d.owner.Start(ctx)
	go func() { _ = d.syncer.Run(ctx) }()
	go d.updateMemberPeriodically(ctx)
	go d.suspects.run(ctx)
	go func() { _ = do.MustInvoke[*rollout.Rollout](d.injector).Run(ctx) }()
}

// runMembership takes part in the membership until ctx ends. If the membership
// fails because a later process runs under the same host id, runMembership calls
// beginShutdown.
func (d *Daemon) runMembership(ctx context.Context, beginShutdown func()) {
	if err := d.group.Run(ctx); err != nil && ctx.Err() == nil {
		d.log.Error().Err(err).Msg("shutting down after membership failure")
		beginShutdown()
	}
}

// listenError returns an Unavailable error for a failure to listen on the address
// in the given settings field.
func listenError(field string, err error) error {
	return cicadapitch.NewError(cicadapitch.Unavailable,
		"cannot listen on "+field+": "+err.Error(), "free the address or change it in the settings")
}
