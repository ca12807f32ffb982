package claim

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// tickInterval is the interval between two ticks.
const tickInterval = 500 * cicadapitch.Millis(1)

// Manager claims, keeps and releases shards for this host and tracks which hosts own
// the others. Its methods may be called concurrently, except for OnGain and OnLoss.
type Manager struct {
	store        cicadapitch.Store
	members      cicadapitch.Members
	configs      cicadapitch.ConfigurationSource
	clock        cicadapitch.Clock
	reachability StoreReachability
	policy       Policy
	log          zerolog.Logger

	// mu guards state and shards, and orders the calls of the hooks.
	mu     sync.Mutex
	state  *State
	shards configuredShards
	onGain []func(cicadapitch.Claim)
	onLoss []func(cicadapitch.ShardID)

	view atomic.Pointer[view]
	// ownLoads are set on this host, observedLoads come from responses of owners.
	ownLoads      loadTable
	observedLoads loadTable
}

var _ cicadapitch.ShardOwners = (*Manager)(nil)

// configuredShards caches the shards and the number of hosts of one configuration.
type configuredShards struct {
	config    *cicadapitch.Configuration
	locations []ShardLocation
	hosts     int
}

// New returns a Manager for the host members.Self. It claims shards only through
// Run, or through Step and Execute.
func New(store cicadapitch.Store, members cicadapitch.Members, configs cicadapitch.ConfigurationSource, clock cicadapitch.Clock, opts ...Option) *Manager {
	m := &Manager{
		store:        store,
		members:      members,
		configs:      configs,
		clock:        clock,
		reachability: memberReachability{members},
		policy:       StandardPolicy(),
		log:          zerolog.Nop(),
	}
	for _, opt := range opts {
		opt(m)
	}
	m.state = NewState(clock.Now(), m.policy)
	m.view.Store(&view{})
	return m
}

// OnGain registers a hook that is called for each shard that this host comes to
// own. Call OnGain before Run. f must not block and must not call Step, Execute,
// Release or ReleaseAll.
func (m *Manager) OnGain(f func(cicadapitch.Claim)) { m.onGain = append(m.onGain, f) }

// OnLoss registers a hook that is called for each shard that this host no longer
// owns. The rules of OnGain apply.
func (m *Manager) OnLoss(f func(cicadapitch.ShardID)) { m.onLoss = append(m.onLoss, f) }

// Run calls Step at a fixed interval and executes the returned commands
// concurrently until ctx ends. It returns the context's error after all commands
// have ended.
func (m *Manager) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		for _, cmd := range m.Step() {
			calls.Go(func() { m.Execute(ctx, cmd) })
		}
		if err := m.clock.Sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
}

// Step processes one tick and returns the commands for Execute. It returns nil
// while the host has no configuration.
func (m *Manager) Step() []Command {
	cfg := m.configs.Current()
	if cfg == nil {
		return nil
	}
	up, down := m.reachability.CountHosts()
	t := Tick{Now: m.clock.Now(), Self: m.members.Self(), Members: m.members.Members(), HostsWithStore: up, HostsWithoutStore: down}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.shards.config != cfg {
		inService := lo.CountBy(cfg.Hosts, func(h cicadapitch.HostSetting) bool { return !h.Out })
		m.shards = configuredShards{config: cfg, locations: ShardLocations(cfg), hosts: inService}
	}
	t.Shards, t.Hosts = m.shards.locations, m.shards.hosts
	cmds := m.next(t)
	m.view.Store(m.state.view(t))
	return cmds
}

// next passes a message to the state, calls the hooks and returns the commands that
// call the store. The caller must hold mu.
func (m *Manager) next(msg Message) []Command {
	var calls []Command
	cmds := m.state.Next(msg)
	m.view.Store(m.state.refresh(m.view.Load()))
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case NotifyGain:
			m.notifyGain(cmd.Claim)
		case NotifyLoss:
			m.notifyLoss(cmd.Shard)
		default:
			calls = append(calls, cmd)
		}
	}
	return calls
}

// handle calls next under mu.
func (m *Manager) handle(msg Message) []Command {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.next(msg)
}

func (m *Manager) notifyGain(claim cicadapitch.Claim) {
	m.log.Info().Str("Shard", string(claim.Shard)).Int64("Fencing", int64(claim.Fencing)).Msg("shard claimed")
	for _, f := range m.onGain {
		f(claim)
	}
}

func (m *Manager) notifyLoss(shard cicadapitch.ShardID) {
	m.log.Info().Str("Shard", string(shard)).Msg("shard no longer owned")
	m.ownLoads.remove(shard)
	for _, f := range m.onLoss {
		f(shard)
	}
}

// Execute runs a command that Step returned, passes the response to the state and
// runs the commands that the state returns for it.
func (m *Manager) Execute(ctx context.Context, cmd Command) {
	x := executor{store: m.store, clock: m.clock, leaseCallTimeout: m.policy.LeaseCallTimeout}
	var response Message
	switch cmd := cmd.(type) {
	case GrantLease:
		response = x.grant(ctx, cmd)
	case RenewLease:
		response = x.renew(ctx, cmd)
	case RevokeLease:
		// A lease that cannot be revoked expires.
		_ = m.store.Revoke(ctx, cmd.Lease)
		return
	case AcquireShards:
		results := x.acquire(ctx, cmd)
		response = AcquireResponse{Now: m.clock.Now(), Lease: cmd.Lease, Results: results}
	case ReleaseShards:
		err := x.release(ctx, cmd)
		response = ReleaseResponse{Now: m.clock.Now(), Shards: cmd.Shards, Err: err}
	default:
		return
	}
	for _, next := range m.handle(response) {
		m.Execute(ctx, next)
	}
}

// Release gives up a shard, so that another host can claim it immediately. If the
// store is down, the claim is deleted once it is up again. The error is that of ctx.
func (m *Manager) Release(ctx context.Context, shard cicadapitch.ShardID) error {
	for _, cmd := range m.handle(ReleaseRequest{Now: m.clock.Now(), Shard: shard}) {
		m.Execute(ctx, cmd)
	}
	return ctx.Err()
}

// ReleaseAll gives up all shards and revokes the lease with one call to the store.
// Call it when the host leaves: no shard is claimed afterwards. The error is that
// of ctx.
func (m *Manager) ReleaseAll(ctx context.Context) error {
	for _, cmd := range m.handle(ReleaseRequest{Now: m.clock.Now(), All: true}) {
		m.Execute(ctx, cmd)
	}
	return ctx.Err()
}

// SetLoad sets the load of a shard that this host owns.
func (m *Manager) SetLoad(shard cicadapitch.ShardID, load cicadapitch.ShardLoad) {
	m.ownLoads.set(shard, load, m.clock.Now())
}

// RecordLoad implements cicadapitch.ShardOwners. load was observed in a response of the
// shard's owner.
func (m *Manager) RecordLoad(shard cicadapitch.ShardID, load cicadapitch.ShardLoad) {
	m.observedLoads.set(shard, load, m.clock.Now())
}
