package endpoint

import (
	"context"
	"sync"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/quarantine"
)

// Owner runs attempts on the endpoints of the shards that this host owns. It is
// safe for concurrent use.
type Owner struct {
	configurations cicadapitch.ConfigurationSource
	drivers        map[cicadapitch.PoolKind]cicadapitch.Driver
	fencingOf      func(cicadapitch.ShardID) (cicadapitch.FencingNumber, bool)
	clock          cicadapitch.Clock
	policy         Policy
	log            zerolog.Logger
	ledger         *ledger
	guard          *crashGuard

	mu       sync.RWMutex
	shards   map[cicadapitch.ShardID]*shard
	draining bool
	// activeAttempts counts the attempts that have not completed.
	activeAttempts int
	// attemptEnded wakes Drain when an attempt has completed.
	attemptEnded chan struct{}
}

// NewOwner returns an owner without shards. It uses the driver of each pool's
// kind to call endpoints. The function fencingOf returns the fencing number
// under which this host owns a shard, and false if it does not own the shard.
func NewOwner(
	configurations cicadapitch.ConfigurationSource,
	drivers map[cicadapitch.PoolKind]cicadapitch.Driver,
	fencingOf func(cicadapitch.ShardID) (cicadapitch.FencingNumber, bool),
	clock cicadapitch.Clock,
	opts ...Option,
) *Owner {
	o := &Owner{
		configurations: configurations,
		drivers:        drivers,
		fencingOf:      fencingOf,
		clock:          clock,
		policy:         StandardPolicy(),
		log:            zerolog.Nop(),
		ledger:         newLedger(30*cicadapitch.Second, 5*cicadapitch.Minute),
		guard: &crashGuard{
			ledger: quarantine.NewLedger(), trials: quarantine.NewTrials(), tell: func([]quarantine.Report) {},
		},
		shards:       make(map[cicadapitch.ShardID]*shard),
		attemptEnded: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// AddShard adds the shard of a new claim, or replaces one that was added under a
// lower fencing number. An endpoint gets no calls until the calls that already
// run there have been counted or must have ended, and then starts cold.
func (o *Owner) AddShard(claim cicadapitch.Claim) {
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
		old.release(o.clock.Now())
	}
	s.initialize(o.clock.Now(), o.configurations.Current())
	o.log.Info().Str("Shard", string(claim.Shard)).Int64("Fencing", int64(claim.Fencing)).Msg("shard added")
}

// RemoveShard removes a shard that this host no longer owns. Waiting attempts
// end with a Redirected error; running calls continue to their end.
func (o *Owner) RemoveShard(id cicadapitch.ShardID) {
	o.mu.Lock()
	s := o.shards[id]
	delete(o.shards, id)
	o.mu.Unlock()
	if s == nil {
		return
	}
	s.release(o.clock.Now())
	o.log.Info().Str("Shard", string(id)).Msg("shard removed")
}

// Drain rejects new attempts with a Redirected error and waits until all
// accepted attempts have completed. If ctx ends first, Drain returns its error.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	for o.activeCount() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.attemptEnded:
		}
	}
	return nil
}

// Load returns the present load of a shard, or a zero load if this host does
// not own the shard.
func (o *Owner) Load(id cicadapitch.ShardID) cicadapitch.ShardLoad {
	s, ok := o.shard(id)
	if !ok {
		return cicadapitch.ShardLoad{}
	}
	return s.load(o.clock.Now())
}

// Outcome returns the state of an attempt. An unknown attempt is recorded as
// Refused, so that it cannot start on this host later.
func (o *Owner) Outcome(id cicadapitch.AttemptID) cicadapitch.AttemptState {
	return o.ledger.outcome(o.clock.Now(), id)
}

// shard returns a shard that has been added.
func (o *Owner) shard(id cicadapitch.ShardID) (*shard, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	s, ok := o.shards[id]
	return s, ok
}

// ownedShard returns the shard if this host owns it. An attempt can arrive
// before AddShard is called for a new claim, so ownedShard calls AddShard itself
// if the shard is missing or has another fencing number.
func (o *Owner) ownedShard(id cicadapitch.ShardID) (*shard, bool) {
	fencing, ok := o.fencingOf(id)
	if !ok {
		return nil, false
	}
	s, ok := o.shard(id)
	if ok && s.fencing == fencing {
		return s, true
	}
	o.AddShard(cicadapitch.Claim{Shard: id, Fencing: fencing})
	return o.shard(id)
}

// poolAndDriver returns a pool of the current configuration and the driver for
// its kind, or a NotRun error.
func (o *Owner) poolAndDriver(id cicadapitch.PoolID) (cicadapitch.Pool, cicadapitch.Driver, error) {
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

func (o *Owner) activeCount() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.activeAttempts
}

// beginAttempt counts an attempt as active, or returns false if the owner is
// draining.
func (o *Owner) beginAttempt() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.draining {
		return false
	}
	o.activeAttempts++
	return true
}

// endAttempt ends an attempt that beginAttempt has counted.
func (o *Owner) endAttempt() {
	o.mu.Lock()
	o.activeAttempts--
	o.mu.Unlock()
	select {
	case o.attemptEnded <- struct{}{}:
	default:
	}
}
