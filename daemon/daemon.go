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

// Daemon is one entry host.
type Daemon struct {
	settings *settings.Settings
	clock    cicadapitch.Clock
	log      zerolog.Logger
	roles    do.Injector

	self     cicadapitch.Member
	group    *host.Group
	follower *configuration.Follower
	spreader *configuration.Syncer
	claims   *claim.Manager
	owner    *endpoint.Owner
	entry    *entry.Server
	orders   *order.Service
	peers    *peer.Server
	dialer   *peer.Dialer

	// settled is true once the host takes callers, readySince when it became
	// ready to own shards. Only keepRecord writes them.
	settled    atomic.Bool
	readySince cicadapitch.Instant
}

// Option changes a Daemon.
type Option func(*Daemon)

// WithClock sets the clock.
func WithClock(c cicadapitch.Clock) Option { return func(d *Daemon) { d.clock = c } }

// WithLog sets the logger.
func WithLog(log zerolog.Logger) Option { return func(d *Daemon) { d.log = log } }

// New wires a daemon from checked settings. It opens no connection.
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
	d.roles = do.New()
	do.ProvideValue(d.roles, s)
	do.ProvideValue(d.roles, d.clock)
	do.ProvideValue(d.roles, d.log)
	do.ProvideValue(d.roles, deploymentKey(key))
	provide(d.roles)
	return d, d.invoke()
}

func (d *Daemon) invoke() error {
	var err error
	if d.entry, err = do.Invoke[*entry.Server](d.roles); err != nil {
		return cicadapitch.Wrap(err)
	}
	if d.orders, err = do.Invoke[*order.Service](d.roles); err != nil {
		return cicadapitch.Wrap(err)
	}
	d.self = do.MustInvoke[cicadapitch.Member](d.roles)
	d.group = do.MustInvoke[*host.Group](d.roles)
	d.follower = do.MustInvoke[*configuration.Follower](d.roles)
	d.spreader = do.MustInvoke[*configuration.Syncer](d.roles)
	d.claims = do.MustInvoke[*claim.Manager](d.roles)
	d.owner = do.MustInvoke[*endpoint.Owner](d.roles)
	d.peers = do.MustInvoke[*peer.Server](d.roles)
	d.dialer = do.MustInvoke[*peer.Dialer](d.roles)
	return nil
}

// Run serves until ctx ends and then shuts down gracefully: it cuts no request
// within the grace period of the settings.
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

func (d *Daemon) serve(ctx context.Context, peerListener, callerListener net.Listener) error {
	// The roles outlive ctx, since running requests need them to the end.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.registerPeerMessages()
	callers := d.callerServer()
	peers := d.peerServer()
	failed := make(chan error, 2)
	go func() { failed <- callers.Serve(callerListener) }()
	go func() { failed <- peers.Serve(peerListener) }()
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	d.startRoles(work, leave)
	d.log.Info().Str("Host", string(d.self.Host)).Str("Zone", string(d.self.Zone)).
		Str("CallerURL", d.self.CallerURL).Str("PeerAddress", d.self.PeerAddress).
		Uint64("Incarnation", uint64(d.self.Incarnation)).Msg("started")
	select {
	case err := <-failed:
		return cicadapitch.Wrap(err)
	case <-ctx.Done():
		return d.shutDown(work, callers, peers)
	}
}

func (d *Daemon) registerPeerMessages() {
	serveMembership(d.peers, d.group)
	serveConfiguration(d.peers, d.follower)
	serveAttempts(d.peers, d.self, d.owner)
	serveForwarded(d.peers, d.self, d.entry)
}

// startRoles starts the roles, which end with ctx. Leave shuts the daemon down.
func (d *Daemon) startRoles(ctx context.Context, leave func()) {
	d.follower.Subscribe(func(*cicadapitch.Configuration) { d.record() })
	go d.belong(ctx, leave)
	go func() { _ = d.claims.Run(ctx) }()
	d.owner.Start(ctx)
	go func() { _ = d.spreader.Run(ctx) }()
	go d.keepRecord(ctx)
	go func() { _ = do.MustInvoke[*rollout.Rollout](d.roles).Run(ctx) }()
}

// belong takes part in the membership. It shuts the daemon down where a later
// process runs under the same host id.
func (d *Daemon) belong(ctx context.Context, leave func()) {
	if err := d.group.Run(ctx); err != nil && ctx.Err() == nil {
		d.log.Error().Err(err).Msg("membership ended")
		leave()
	}
}

func listenError(field string, err error) error {
	return cicadapitch.NewError(cicadapitch.Unavailable,
		"cannot listen on "+field+": "+err.Error(), "free the address or change it in the settings")
}
