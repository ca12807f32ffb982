package rollout

import (
	"context"

	"cicadapitch.example/cicadapitch"
)

// Ownership tells which shards this host owns.
type Ownership interface {
	// Owned returns the shards that this host owns now.
	Owned() []cicadapitch.Claim
	// Holds returns the fencing number of a shard that this host owns now.
	Holds(shard cicadapitch.ShardID) (cicadapitch.FencingNumber, bool)
}

// Rollout orders the engines of the shards that this host owns. Its methods are
// not safe for concurrent use.
type Rollout struct {
	self           cicadapitch.HostID
	owners         Ownership
	configurations cicadapitch.Configurations
	driver         cicadapitch.Driver
	load           func(cicadapitch.ShardID) cicadapitch.ShardLoad
	rest           Pauser
	store          cicadapitch.Store
	clock          cicadapitch.Clock
	options        options
	shards         map[cicadapitch.ShardID]*shard
}

// Dependencies is what a rollout works with.
type Dependencies struct {
	Configurations cicadapitch.Configurations
	// Driver speaks to engines.
	Driver cicadapitch.Driver
	// Load gives the present load of an owned shard.
	Load func(cicadapitch.ShardID) cicadapitch.ShardLoad
	// Pauser keeps work from an engine while it is ordered, nil for NoRest.
	Pauser Pauser
	Store  cicadapitch.Store
	Clock  cicadapitch.Clock
}

// New returns a rollout for the host self.
func New(self cicadapitch.HostID, owners Ownership, p Dependencies, opts ...Option) *Rollout {
	r := &Rollout{
		self:           self,
		owners:         owners,
		configurations: p.Configurations,
		driver:         p.Driver,
		load:           p.Load,
		rest:           p.Pauser,
		store:          p.Store,
		clock:          p.Clock,
		options: options{
			interval:   defaultInterval,
			repeat:     defaultRepeat,
			backoff:    defaultBackoff,
			maxBackoff: defaultMaxBackoff,
		},
		shards: make(map[cicadapitch.ShardID]*shard),
	}
	if r.rest == nil {
		r.rest = NopPauser{}
	}
	for _, opt := range opts {
		opt(&r.options)
	}
	return r
}

// Run steps until ctx ends, whose error it then returns.
func (r *Rollout) Run(ctx context.Context) error {
	for {
		r.Step(ctx)
		if err := r.clock.Sleep(ctx, min(tickInterval, r.options.interval)); err != nil {
			return err
		}
	}
}

// Step gives the orders that are due now, one a shard at most.
func (r *Rollout) Step(ctx context.Context) {
	cfg := r.configurations.Current()
	if cfg == nil {
		return
	}
	owned := make(map[cicadapitch.ShardID]cicadapitch.FencingNumber)
	for _, c := range r.owners.Owned() {
		owned[c.Shard] = c.Fencing
	}
	r.forget(owned)
	ordered := make(map[cicadapitch.ShardID]bool)
	for _, v := range views(cfg, owned, r.clock.Now()) {
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

// forget drops what was known of shards that this host no longer owns or owns
// under another claim, since others may have ordered in between.
func (r *Rollout) forget(owned map[cicadapitch.ShardID]cicadapitch.FencingNumber) {
	for id, s := range r.shards {
		if f, ok := owned[id]; !ok || f != s.fencing {
			delete(r.shards, id)
		}
	}
}

// order gives the order that is due in one shard, if there is one.
func (r *Rollout) order(ctx context.Context, v ShardView) {
	id := v.Endpoints[0].Shard
	s, err := r.shard(ctx, id, v)
	if err != nil {
		r.options.log.Warn().Str("Shard", string(id)).Err(err).Msg("rollout waits for the store")
		return
	}
	e, target, due := s.next(v, r.options)
	if !due {
		if !s.stillDue(v, target, r.options) {
			r.resume(id, s)
		}
		return
	}
	if !r.rested(id, s, e.ID) {
		return
	}
	if f, ok := r.owners.Holds(id); !ok || f != v.Fencing {
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
	s.done(v, e.ID, target, err, r.options)
	r.resume(id, s)
	r.options.log.Info().Str("Endpoint", string(e.ID)).Str("Model", string(target.Model)).
		Str("Version", string(target.Version)).Int64("Fencing", int64(v.Fencing)).
		AnErr("Error", err).Msg("engine ordered")
	r.save(ctx, id, s)
}

// shard returns what is known of a shard, read from the store once for each
// claim. It saves what could not be saved before.
func (r *Rollout) shard(ctx context.Context, id cicadapitch.ShardID, v ShardView) (*shard, error) {
	if s, ok := r.shards[id]; ok {
		r.save(ctx, id, s)
		return s, nil
	}
	p, err := readProgress(ctx, r.store, id)
	if err != nil {
		return nil, err
	}
	s := newShard(v.Fencing, p)
	r.shards[id] = s
	return s, nil
}

// save writes the progress of a shard. A write that failed is tried again with
// each step. A conflict shows that it took effect though its answer was lost,
// or that another owner has written: the shard is read again, at the price of
// giving one order once more.
func (r *Rollout) save(ctx context.Context, id cicadapitch.ShardID, s *shard) {
	if cicadapitch.KindOf(s.progress.save(ctx, r.store, id)) == cicadapitch.Conflict {
		delete(r.shards, id)
	}
}
