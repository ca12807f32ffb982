package endpoint

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

// Owner runs attempts on the endpoints of the shards that this host holds.
type Owner struct {
	configurations cicadapitch.Configurations
	drivers        map[cicadapitch.PoolKind]cicadapitch.Driver
	holds          func(cicadapitch.ShardID) (cicadapitch.FencingNumber, bool)
	clock          cicadapitch.Clock
	policy         Policy
	log            zerolog.Logger
	ledger         *ledger

	mu       sync.RWMutex
	shards   map[cicadapitch.ShardID]*shard
	draining bool
	// runs counts attempts that have not been settled.
	runs    int
	settled chan struct{}
}

// NewOwner returns an owner without shards. The function holds tells whether
// this host still owns a shard, and under which fencing number.
func NewOwner(
	configurations cicadapitch.Configurations,
	drivers map[cicadapitch.PoolKind]cicadapitch.Driver,
	holds func(cicadapitch.ShardID) (cicadapitch.FencingNumber, bool),
	clock cicadapitch.Clock,
	opts ...Option,
) *Owner {
	o := &Owner{
		configurations: configurations,
		drivers:        drivers,
		holds:          holds,
		clock:          clock,
		policy:         StandardPolicy(),
		log:            zerolog.Nop(),
		ledger:         newLedger(30*cicadapitch.Second, 5*cicadapitch.Minute),
		shards:         make(map[cicadapitch.ShardID]*shard),
		settled:        make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Gain takes over a shard under a new claim. Its endpoints count as cold until
// they have been seen.
func (o *Owner) Gain(claim cicadapitch.Claim) {
	o.mu.Lock()
	old := o.shards[claim.Shard]
	if old != nil && old.fencing >= claim.Fencing {
		o.mu.Unlock()
		return
	}
	s := newShard(claim, o.policy)
	o.shards[claim.Shard] = s
	o.mu.Unlock()
	if old != nil {
		old.surrender(o.clock.Now())
	}
	s.gain(o.clock.Now(), o.configurations.Current())
	o.log.Info().Str("Shard", string(claim.Shard)).Int64("Fencing", int64(claim.Fencing)).Msg("shard gained")
}

// Lose gives up a shard. Attempts that wait are sent elsewhere; calls that run
// end where they are.
func (o *Owner) Lose(id cicadapitch.ShardID) {
	o.mu.Lock()
	s := o.shards[id]
	delete(o.shards, id)
	o.mu.Unlock()
	if s == nil {
		return
	}
	s.surrender(o.clock.Now())
	o.log.Info().Str("Shard", string(id)).Msg("shard lost")
}

// Drain stops taking attempts and waits until those that were taken have been
// settled or ctx ends, whose error it then returns.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	for o.unsettled() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.settled:
		}
	}
	return nil
}

// Load returns the present load of a shard, or a zero load where this host
// does not own it.
func (o *Owner) Load(id cicadapitch.ShardID) cicadapitch.ShardLoad {
	s, ok := o.shard(id)
	if !ok {
		return cicadapitch.ShardLoad{}
	}
	return s.load(o.clock.Now())
}

// Outcome tells what became of an attempt. An unknown one is refused for good:
// it never starts here afterwards.
func (o *Owner) Outcome(id cicadapitch.AttemptID) cicadapitch.AttemptState {
	return o.ledger.outcome(o.clock.Now(), id)
}

func (o *Owner) shard(id cicadapitch.ShardID) (*shard, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	s, ok := o.shards[id]
	return s, ok
}

// held returns the shard if this host owns it, and takes over a claim that it
// has not been told of yet.
func (o *Owner) held(id cicadapitch.ShardID) (*shard, bool) {
	fencing, ok := o.holds(id)
	if !ok {
		return nil, false
	}
	s, ok := o.shard(id)
	if ok && s.fencing == fencing {
		return s, true
	}
	o.Gain(cicadapitch.Claim{Shard: id, Fencing: fencing})
	return o.shard(id)
}

// route returns the pool and the driver of its kind.
func (o *Owner) route(id cicadapitch.PoolID) (cicadapitch.Pool, cicadapitch.Driver, error) {
	cfg := o.configurations.Current()
	if cfg == nil {
		return cicadapitch.Pool{}, nil, cicadapitch.NewNotRun("this host has no configuration yet", cicadapitch.Second)
	}
	pool, ok := cfg.Pool(id)
	driver := o.drivers[pool.Kind]
	if !ok || driver == nil {
		return pool, nil, cicadapitch.NewNotRun("the pool is not in the configuration in force", cicadapitch.Second)
	}
	return pool, driver, nil
}

func (o *Owner) unsettled() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.runs
}

// enter counts an attempt in, unless the owner drains.
func (o *Owner) enter() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.runs++
	return true
}

func (o *Owner) leave() {
	o.mu.Lock()
	o.runs--
	o.mu.Unlock()
	select {
	case o.settled <- struct{}{}:
	default:
	}
}
