package entry

import (
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// shardTable holds what this host knows about the shards: the shard groups of the
// configuration in force, this host's own attempts and the age of the loads.
type shardTable struct {
	owners cicadapitch.ShardOwners
	clock  cicadapitch.Clock

	mu       sync.RWMutex
	revision cicadapitch.Revision
	groups   map[cicadapitch.PoolID]*pipeline.ShardGroup
	shards   map[cicadapitch.ShardID]*trackedShard
}

// trackedShard is the last load of one shard and the number of this host's
// attempts there.
type trackedShard struct {
	mu   sync.Mutex
	load cicadapitch.ShardLoad
	// loadAt is when state first saw load.
	loadAt cicadapitch.Instant
	// inflight counts the attempts that have not ended, and sinceLoad those of
	// them that were sent after loadAt.
	inflight  int
	sinceLoad int
}

func newShardTable(owners cicadapitch.ShardOwners, clock cicadapitch.Clock) *shardTable {
	return &shardTable{owners: owners, clock: clock, shards: make(map[cicadapitch.ShardID]*trackedShard)}
}

// group returns the shards of a pool in the given configuration, or in a newer one
// that the table already has. The group of an unknown pool is empty.
func (t *shardTable) group(cfg *cicadapitch.Configuration, pool cicadapitch.PoolID) *pipeline.ShardGroup {
	t.mu.RLock()
	g, current := t.groups[pool], t.revision >= cfg.Revision && t.groups != nil
	t.mu.RUnlock()
	if !current {
		g = t.rebuild(cfg)[pool]
	}
	if g == nil {
		return &pipeline.ShardGroup{Pool: pool}
	}
	return g
}

// rebuild replaces the groups with those of a newer configuration and returns the
// newest groups. A request that began under an older configuration uses the newer
// groups too, so that a zone that is out of service gets no further stage.
func (t *shardTable) rebuild(cfg *cicadapitch.Configuration) map[cicadapitch.PoolID]*pipeline.ShardGroup {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.groups != nil && t.revision >= cfg.Revision {
		return t.groups
	}
	t.groups = pipeline.NewShardGroups(cfg)
	t.revision = cfg.Revision
	for _, g := range t.groups {
		for _, m := range g.Members {
			if t.shards[m.Shard] == nil {
				t.shards[m.Shard] = &trackedShard{}
			}
		}
	}
	return t.groups
}

func (t *shardTable) shard(id cicadapitch.ShardID) *trackedShard {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.shards[id]
}

// state returns what is known about a shard at the given time.
func (t *shardTable) state(id cicadapitch.ShardID, now cicadapitch.Instant) pipeline.ShardState {
	load, known := t.owners.Load(id)
	s := t.shard(id)
	if s == nil {
		return pipeline.ShardState{LoadKnown: known, Load: load}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if known && (load != s.load || s.loadAt == 0) {
		s.load, s.loadAt, s.sinceLoad = load, now, 0
	}
	return pipeline.ShardState{
		LoadKnown:     known,
		Load:          load,
		LoadAge:       now.Sub(s.loadAt),
		Inflight:      s.inflight,
		SentSinceLoad: s.sinceLoad,
	}
}

// attemptSent counts an attempt that is sent to a shard.
func (t *shardTable) attemptSent(id cicadapitch.ShardID) {
	if s := t.shard(id); s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inflight++
		s.sinceLoad++
	}
}

// attemptEnded uncounts an attempt that has ended. Load is the load that its result
// carried, or nil.
func (t *shardTable) attemptEnded(id cicadapitch.ShardID, load *cicadapitch.ShardLoad) {
	if load != nil {
		t.owners.RecordLoad(id, *load)
	}
	if s := t.shard(id); s != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.inflight--
		s.sinceLoad = min(s.sinceLoad, s.inflight)
	}
}
