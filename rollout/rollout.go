package rollout

import (
	"context"

	"cicadapitch.example/cicadapitch"
)

// Ownership provides the shards that this host owns.
type Ownership interface {
	// Owned returns the shards that this host owns now.
	Owned() []cicadapitch.Claim
	// Holds returns the fencing number of a shard, and false if this host does
	// not own the shard now.
	Holds(shard cicadapitch.ShardID) (cicadapitch.FencingNumber, bool)
}

// Rollout sends orders to the engines of the shards that this host owns. Its
// methods are not safe for concurrent use.
type Rollout struct {
	self           cicadapitch.HostID
	ownership      Ownership
	configurations cicadapitch.ConfigurationSource
	driver         cicadapitch.Driver
	load           func(cicadapitch.ShardID) cicadapitch.ShardLoad
	pauser         Pauser
	store          cicadapitch.Store
	clock          cicadapitch.Clock
	options        options
	shards         map[cicadapitch.ShardID]*shardState
}

// Dependencies are the components that a rollout uses.
type Dependencies struct {
	Configurations cicadapitch.ConfigurationSource
	// Driver sends the orders to engines.
	Driver cicadapitch.Driver
	// Load returns the current load of an owned shard.
	Load func(cicadapitch.ShardID) cicadapitch.ShardLoad
	// Pauser pauses an engine until its order has been sent. The default is
	// NopPauser.
	Pauser Pauser
	Store  cicadapitch.Store
	Clock  cicadapitch.Clock
}

// New returns a rollout for this host, whose id is self.
func New(self cicadapitch.HostID, ownership Ownership, deps Dependencies, opts ...Option) *Rollout {
	r := &Rollout{
		self:           self,
		ownership:      ownership,
		configurations: deps.Configurations,
		driver:         deps.Driver,
		load:           deps.Load,
		pauser:         deps.Pauser,
		store:          deps.Store,
		clock:          deps.Clock,
		options: options{
			interval:       defaultInterval,
			repeatInterval: defaultRepeatInterval,
			minBackoff:     defaultMinBackoff,
			maxBackoff:     defaultMaxBackoff,
		},
		shards: make(map[cicadapitch.ShardID]*shardState),
	}
	if r.pauser == nil {
		r.pauser = NopPauser{}
	}
	for _, opt := range opts {
		opt(&r.options)
	}
	return r
}

// Run calls Step once per stepInterval until ctx ends. It returns the error of ctx.
func (r *Rollout) Run(ctx context.Context) error {
	for {
		r.Step(ctx)
		if err := r.clock.Sleep(ctx, min(stepInterval, r.options.interval)); err != nil {
			return err
		}
	}
}

// Step sends the orders that are due now, at most one per shard.
func (r *Rollout) Step(ctx context.Context) {
	cfg := r.configurations.Current()
	if cfg == nil {
		return
	}
	owned := make(map[cicadapitch.ShardID]cicadapitch.FencingNumber)
	for _, c := range r.ownership.Owned() {
		owned[c.Shard] = c.Fencing
	}
	r.discardLostShards(owned)
	ordered := make(map[cicadapitch.ShardID]bool)
	for _, v := range shardViews(cfg, owned, r.clock.Now()) {
		id := v.Endpoints[0].Shard
		ordered[id] = true
		v.Load = r.load(id)
		r.order(ctx, v)
	}
	for id, s := range r.shards {
		if !ordered[id] {
			r.resume(id, s)
		}
	}
}

// discardLostShards drops the state of shards that this host no longer owns, or
// owns under a new claim. Another owner may have sent orders in between.
func (r *Rollout) discardLostShards(owned map[cicadapitch.ShardID]cicadapitch.FencingNumber) {
	for id, s := range r.shards {
		if f, ok := owned[id]; !ok || f != s.fencing {
			delete(r.shards, id)
		}
	}
}

// order sends the order that is due in one shard, if there is one.
func (r *Rollout) order(ctx context.Context, v ShardView) {
	id := v.Endpoints[0].Shard
	s, err := r.loadShard(ctx, id, v)
	if err != nil {
		r.options.log.Warn().Str("Shard", string(id)).Err(err).Msg("reading rollout progress from the store failed")
		return
	}
	e, target, due := s.nextOrder(v, r.options)
	if !due {
		if !s.pausedEngineDue(v, target, r.options) {
			r.resume(id, s)
		}
		return
	}
	if !r.pause(id, s, e.ID) {
		return
	}
	if f, ok := r.ownership.Holds(id); !ok || f != v.Fencing {
		return
	}
	err = r.driver.Order(ctx, e, cicadapitch.EndpointOrder{
		Model:    target.Model,
		Version:  target.Version,
		Adapters: target.Adapters,
		Role:     target.Role,
		Fencing:  v.Fencing,
		Orderer:  r.self,
	})
	s.recordOrder(v, e.ID, target, err, r.options)
	r.resume(id, s)
	r.options.log.Info().Str("Endpoint", string(e.ID)).Str("Model", string(target.Model)).
		Str("Version", string(target.Version)).Int64("Fencing", int64(v.Fencing)).
		AnErr("Error", err).Msg("attempted to send order to engine")
	r.save(ctx, id, s)
}

// loadShard returns the state of a shard. It reads the progress from the store once
// per claim, and saves progress that could not be saved before.
func (r *Rollout) loadShard(ctx context.Context, id cicadapitch.ShardID, v ShardView) (*shardState, error) {
	if s, ok := r.shards[id]; ok {
		r.save(ctx, id, s)
		return s, nil
	}
	p, err := readProgress(ctx, r.store, id)
	if err != nil {
		return nil, err
	}
	s := newShardState(v.Fencing, p)
	r.shards[id] = s
	return s, nil
}

// save writes the progress of a shard to the store. A failed write is retried in
// each step. A Conflict means that an earlier write took effect although its
// answer was lost, or that another owner has written. The state is then dropped
// and read again, which may repeat one order.
func (r *Rollout) save(ctx context.Context, id cicadapitch.ShardID, s *shardState) {
	if cicadapitch.KindOf(s.progress.save(ctx, r.store, id)) == cicadapitch.Conflict {
		delete(r.shards, id)
	}
}
