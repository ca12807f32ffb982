package entry

import (
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// router holds what this host knows about the shards: the groups of the
// configuration in force, its own attempts and the age of the loads.
type router struct {
	owners cicadapitch.ShardOwners
	clock  cicadapitch.Clock

	mu       sync.RWMutex
	revision cicadapitch.Revision
	groups   map[cicadapitch.PoolID]*pipeline.ShardGroup
	shards   map[cicadapitch.ShardID]*shardState
}

type shardState struct {
	mu       sync.Mutex
	load     cicadapitch.ShardLoad
	readAt   cicadapitch.Instant
	inflight int
	since    int
}

func newRouter(owners cicadapitch.ShardOwners, clock cicadapitch.Clock) *router {
	return &router{owners: owners, clock: clock, shards: make(map[cicadapitch.ShardID]*shardState)}
}

// group returns the shards of a pool under a configuration.
func (r *router) group(cfg *cicadapitch.Configuration, pool cicadapitch.PoolID) *pipeline.ShardGroup {
	r.mu.RLock()
	g, current := r.groups[pool], r.revision >= cfg.Revision && r.groups != nil
	r.mu.RUnlock()
	if !current {
		g = r.rebuild(cfg)[pool]
	}
	if g == nil {
		return &pipeline.ShardGroup{Pool: pool}
	}
	return g
}

// rebuild replaces the groups by those of a newer configuration. A request that
// began under an older one uses the newer groups too, so that a zone taken out
// gets no further stage.
func (r *router) rebuild(cfg *cicadapitch.Configuration) map[cicadapitch.PoolID]*pipeline.ShardGroup {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.groups != nil && r.revision >= cfg.Revision {
		return r.groups
	}
	r.groups = pipeline.NewShardGroups(cfg)
	r.revision = cfg.Revision
	for _, g := range r.groups {
		for _, m := range g.Members {
			if r.shards[m.Shard] == nil {
				r.shards[m.Shard] = &shardState{}
			}
		}
	}
	return r.groups
}

func (r *router) shard(id cicadapitch.ShardID) *shardState {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.shards[id]
}

// state returns what is known about a shard now.
func (r *router) state(id cicadapitch.ShardID, now cicadapitch.Instant) pipeline.ShardState {
	load, known := r.owners.Load(id)
	s := r.shard(id)
	if s == nil {
		return pipeline.ShardState{LoadKnown: known, Load: load}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known && (load != s.load || s.readAt == 0) {
		s.load, s.readAt, s.since = load, now, 0
	}
	return pipeline.ShardState{
		LoadKnown:     known,
		Load:          load,
		LoadAge:       now.Sub(s.readAt),
		Inflight:      s.inflight,
		SentSinceLoad: s.since,
	}
}

// begin counts an attempt that is sent to a shard.
func (r *router) begin(id cicadapitch.ShardID) {
	if s := r.shard(id); s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inflight++
		s.since++
	}
}

// end counts an attempt that has ended, with the load that came with it.
func (r *router) end(id cicadapitch.ShardID, load *cicadapitch.ShardLoad) {
	if load != nil {
		r.owners.Observe(id, *load)
	}
	if s := r.shard(id); s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inflight--
		s.since = min(s.since, s.inflight)
	}
}
