package claim

import (
	"sync"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

const stripeCount = 16

// loads keeps the last load of each shard in parts, each under its own lock.
type loadTable struct {
	stripes [stripeCount]loadStripe
}

type loadStripe struct {
	mu   sync.RWMutex
	last map[cicadapitch.ShardID]timedLoad
}

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
