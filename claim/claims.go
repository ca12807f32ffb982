package claim

import (
	"context"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// Claims implements cicadapitch.ShardOwners.
type Claims struct {
	store   cicadapitch.Store
	members cicadapitch.Members
	configs cicadapitch.Configurations
	clock   cicadapitch.Clock

	mu     sync.Mutex
	loads  map[cicadapitch.ShardID]cicadapitch.ShardLoad
	owned  map[cicadapitch.ShardID]cicadapitch.FencingNumber
	gained []func(cicadapitch.Claim)
	lost   []func(cicadapitch.ShardID)
}

var _ cicadapitch.ShardOwners = (*Claims)(nil)

// Option sets an option of Claims.
type Option func(*Claims)

// New returns claims that own nothing until Run is called.
func New(store cicadapitch.Store, members cicadapitch.Members, configs cicadapitch.Configurations, clock cicadapitch.Clock, opts ...Option) *Claims {
	c := &Claims{
		store:   store,
		members: members,
		configs: configs,
		clock:   clock,
		loads:   make(map[cicadapitch.ShardID]cicadapitch.ShardLoad),
		owned:   make(map[cicadapitch.ShardID]cicadapitch.FencingNumber),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

const tickEvery = 500 * cicadapitch.Millis(1)

// Run keeps the claims up to date until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	for {
		c.tick()
		if err := c.clock.Sleep(ctx, tickEvery); err != nil {
			return err
		}
	}
}

func (c *Claims) tick() {
	cfg := c.configs.Current()
	if cfg == nil {
		return
	}
	self := c.members.Self()
	for _, s := range cfg.Shards() {
		w, ok := c.winner(cfg, s)
		c.set(s.ID, ok && w.Host == self.Host)
	}
}

func (c *Claims) winner(cfg *cicadapitch.Configuration, s cicadapitch.Shard) (cicadapitch.Member, bool) {
	z, _ := cfg.Zone(s.Zone)
	return Winner(s, z.Region, c.members.Members())
}

func (c *Claims) set(shard cicadapitch.ShardID, mine bool) {
	c.mu.Lock()
	_, had := c.owned[shard]
	if mine {
		c.owned[shard] = 1
	} else {
		delete(c.owned, shard)
	}
	c.mu.Unlock()
	if mine && !had {
		for _, f := range c.gained {
			f(cicadapitch.Claim{Shard: shard, Fencing: 1})
		}
	}
	if had && !mine {
		for _, f := range c.lost {
			f(shard)
		}
	}
}

// OnGain calls f for each shard that this host comes to own. Call it before Run.
func (c *Claims) OnGain(f func(cicadapitch.Claim)) { c.gained = append(c.gained, f) }

// OnLoss calls f for each shard that this host no longer owns. Call it before
// Run.
func (c *Claims) OnLoss(f func(cicadapitch.ShardID)) { c.lost = append(c.lost, f) }

// Owned returns the shards that this host owns now.
func (c *Claims) Owned() []cicadapitch.Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]cicadapitch.Claim, 0, len(c.owned))
	for shard, n := range c.owned {
		list = append(list, cicadapitch.Claim{Shard: shard, Fencing: n, Load: c.loads[shard]})
	}
	return list
}

// Holds returns the fencing number of a shard that this host owns now.
func (c *Claims) Holds(shard cicadapitch.ShardID) (cicadapitch.FencingNumber, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.owned[shard]
	return n, ok
}

// SetLoad records the load of an owned shard.
func (c *Claims) SetLoad(shard cicadapitch.ShardID, load cicadapitch.ShardLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads[shard] = load
}

// Release gives up a shard so that another host can claim it at once.
func (c *Claims) Release(_ context.Context, shard cicadapitch.ShardID) error {
	c.set(shard, false)
	return nil
}

// ReleaseAll gives up all shards.
func (c *Claims) ReleaseAll(ctx context.Context) error {
	for _, claim := range c.Owned() {
		if err := c.Release(ctx, claim.Shard); err != nil {
			return err
		}
	}
	return nil
}

// Owner implements cicadapitch.ShardOwners.
func (c *Claims) Owner(shard cicadapitch.ShardID) (cicadapitch.Member, bool) {
	cfg := c.configs.Current()
	if cfg == nil {
		return cicadapitch.Member{}, false
	}
	for _, s := range cfg.Shards() {
		if s.ID == shard {
			return c.winner(cfg, s)
		}
	}
	return cicadapitch.Member{}, false
}

// Load implements cicadapitch.ShardOwners.
func (c *Claims) Load(shard cicadapitch.ShardID) (cicadapitch.ShardLoad, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.loads[shard]
	return l, ok
}

// Observe implements cicadapitch.ShardOwners.
func (c *Claims) Observe(shard cicadapitch.ShardID, load cicadapitch.ShardLoad) {
	c.SetLoad(shard, load)
}
