package claim

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// tickEvery is the span between two ticks.
const tickInterval = 500 * cicadapitch.Millis(1)

// Manager owns shards for this host and knows the owners of the others.
type Manager struct {
	store        cicadapitch.Store
	members      cicadapitch.Members
	configs      cicadapitch.Configurations
	clock        cicadapitch.Clock
	reachability StoreReachability
	policy       Policy
	log          zerolog.Logger

	// mu guards state and orders the calls of the hooks.
	mu     sync.Mutex
	state  *State
	shards configuredShards
	onGain []func(cicadapitch.Claim)
	onLoss []func(cicadapitch.ShardID)

	view     atomic.Pointer[view]
	loads    loadTable
	observed loadTable
}

var _ cicadapitch.ShardOwners = (*Manager)(nil)

// places keeps the shards of one configuration.
type configuredShards struct {
	config    *cicadapitch.Configuration
	locations []ShardLocation
	hosts     int
}

// New returns claims that own nothing until Run or Step is called.
func New(store cicadapitch.Store, members cicadapitch.Members, configs cicadapitch.Configurations, clock cicadapitch.Clock, opts ...Option) *Manager {
	c := &Manager{
		store:        store,
		members:      members,
		configs:      configs,
		clock:        clock,
		reachability: memberReachability{members},
		policy:       StandardPolicy(),
		log:          zerolog.Nop(),
	}
	for _, opt := range opts {
		opt(c)
	}
	c.state = NewState(clock.Now(), c.policy)
	c.view.Store(&view{})
	return c
}

// OnGain calls f for each shard that this host comes to own. Call it before
// Run. f must not block and must not call Step, Release or ReleaseAll.
func (c *Manager) OnGain(f func(cicadapitch.Claim)) { c.onGain = append(c.onGain, f) }

// OnLoss calls f for each shard that this host no longer owns, under the same
// rules.
func (c *Manager) OnLoss(f func(cicadapitch.ShardID)) { c.onLoss = append(c.onLoss, f) }

// Run keeps the claims up to date until ctx ends.
func (c *Manager) Run(ctx context.Context) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		for _, cmd := range c.Step() {
			calls.Go(func() { c.Execute(ctx, cmd) })
		}
		if err := c.clock.Sleep(ctx, tickInterval); err != nil {
			return err
		}
	}
}

// Step makes one tick and returns the commands that call the store.
func (c *Manager) Step() []Command {
	cfg := c.configs.Current()
	if cfg == nil {
		return nil
	}
	up, down := c.reachability.CountHosts()
	t := Tick{Now: c.clock.Now(), Self: c.members.Self(), Members: c.members.Members(), StoreUp: up, StoreDown: down}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shards.config != cfg {
		inService := lo.CountBy(cfg.Hosts, func(h cicadapitch.HostSetting) bool { return !h.Out })
		c.shards = configuredShards{config: cfg, locations: ShardLocations(cfg), hosts: inService}
	}
	t.Shards, t.Hosts = c.shards.locations, c.shards.hosts
	cmds := c.next(t)
	c.view.Store(c.state.view(t))
	return cmds
}

// next takes a message, calls the hooks and returns the commands that call the
// store. The caller holds the lock.
func (c *Manager) next(m Message) []Command {
	var calls []Command
	cmds := c.state.Next(m)
	c.view.Store(c.state.refresh(c.view.Load()))
	for _, cmd := range cmds {
		switch cmd := cmd.(type) {
		case NotifyGain:
			c.notifyGain(cmd.Claim)
		case NotifyLoss:
			c.notifyLoss(cmd.Shard)
		default:
			calls = append(calls, cmd)
		}
	}
	return calls
}

func (c *Manager) handle(m Message) []Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next(m)
}

func (c *Manager) notifyGain(claim cicadapitch.Claim) {
	c.log.Info().Str("Shard", string(claim.Shard)).Int64("Fencing", int64(claim.Fencing)).Msg("shard claimed")
	for _, f := range c.onGain {
		f(claim)
	}
}

func (c *Manager) notifyLoss(shard cicadapitch.ShardID) {
	c.log.Info().Str("Shard", string(shard)).Msg("shard given up")
	c.loads.remove(shard)
	for _, f := range c.onLoss {
		f(shard)
	}
}

// Execute carries out a command of Step, and what follows from its end.
func (c *Manager) Execute(ctx context.Context, cmd Command) {
	x := executor{store: c.store, clock: c.clock, leaseCallTimeout: c.policy.LeaseCallTimeout}
	var response Message
	switch cmd := cmd.(type) {
	case GrantLease:
		response = x.grant(ctx, cmd)
	case RenewLease:
		response = x.renew(ctx, cmd)
	case RevokeLease:
		// A lease that cannot be revoked runs out by itself.
		_ = c.store.Revoke(ctx, cmd.Lease)
		return
	case AcquireShards:
		results := x.acquire(ctx, cmd)
		response = AcquireResponse{Now: c.clock.Now(), Lease: cmd.Lease, Results: results}
	case ReleaseShards:
		err := x.release(ctx, cmd)
		response = ReleaseResponse{Now: c.clock.Now(), Shards: cmd.Shards, Err: err}
	default:
		return
	}
	for _, next := range c.handle(response) {
		c.Execute(ctx, next)
	}
}

// Release gives up a shard so that another host can claim it at once. A store
// that is down gets the release later.
func (c *Manager) Release(ctx context.Context, shard cicadapitch.ShardID) error {
	for _, cmd := range c.handle(ReleaseRequest{Now: c.clock.Now(), Shard: shard}) {
		c.Execute(ctx, cmd)
	}
	return ctx.Err()
}

// ReleaseAll gives up all shards and the lease for good, with one call of the
// store. Use it when the host leaves.
func (c *Manager) ReleaseAll(ctx context.Context) error {
	for _, cmd := range c.handle(ReleaseRequest{Now: c.clock.Now(), All: true}) {
		c.Execute(ctx, cmd)
	}
	return ctx.Err()
}

// SetLoad records the load of an owned shard.
func (c *Manager) SetLoad(shard cicadapitch.ShardID, load cicadapitch.ShardLoad) {
	c.loads.set(shard, load, c.clock.Now())
}

// Observe implements cicadapitch.ShardOwners.
func (c *Manager) Observe(shard cicadapitch.ShardID, load cicadapitch.ShardLoad) {
	c.observed.set(shard, load, c.clock.Now())
}
