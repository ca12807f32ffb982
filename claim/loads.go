package claim

import (
	"sync"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// stripeCount is the number of locks that the shards are spread over.
const stripeCount = 16

// loadTable holds the latest load of each shard. It is split into stripes with
// separate locks to reduce contention.
type loadTable struct {
	stripes [stripeCount]loadStripe
}

// loadStripe holds the loads of the shards whose hash selects it.
type loadStripe struct {
	mu   sync.RWMutex
	last map[cicadapitch.ShardID]timedLoad
}

// timedLoad is a load and the instant at which it was set.
type timedLoad struct {
	cicadapitch.ShardLoad
	at cicadapitch.Instant
}

func (l *loadTable) stripe(shard cicadapitch.ShardID) *loadStripe {
	return &l.stripes[xxh3.HashString(string(shard))%stripeCount]
}

func (l *loadTable) set(shard cicadapitch.ShardID, load cicadapitch.ShardLoad, now cicadapitch.Instant) {
	s := l.stripe(shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last == nil {
		s.last = make(map[cicadapitch.ShardID]timedLoad)
	}
	s.last[shard] = timedLoad{load, now}
}

// get returns the latest load of a shard and false if there is none.
func (l *loadTable) get(shard cicadapitch.ShardID) (timedLoad, bool) {
	s := l.stripe(shard)
	s.mu.RLock()
	defer s.mu.RUnlock()
	t, ok := s.last[shard]
	return t, ok
}

func (l *loadTable) remove(shard cicadapitch.ShardID) {
	s := l.stripe(shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.last, shard)
}
