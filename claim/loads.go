package claim

import (
	"sync"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

const loadParts = 16

// loads keeps the last load of each shard in parts, each under its own lock.
type loads struct {
	parts [loadParts]loadPart
}

type loadPart struct {
	mu   sync.RWMutex
	last map[cicadapitch.ShardID]timedLoad
}

type timedLoad struct {
	cicadapitch.ShardLoad
	at cicadapitch.Instant
}

func (l *loads) part(shard cicadapitch.ShardID) *loadPart {
	return &l.parts[xxh3.HashString(string(shard))%loadParts]
}

func (l *loads) set(shard cicadapitch.ShardID, load cicadapitch.ShardLoad, now cicadapitch.Instant) {
	p := l.part(shard)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil {
		p.last = make(map[cicadapitch.ShardID]timedLoad)
	}
	p.last[shard] = timedLoad{load, now}
}

func (l *loads) get(shard cicadapitch.ShardID) (timedLoad, bool) {
	p := l.part(shard)
	p.mu.RLock()
	defer p.mu.RUnlock()
	t, ok := p.last[shard]
	return t, ok
}

func (l *loads) forget(shard cicadapitch.ShardID) {
	p := l.part(shard)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.last, shard)
}
