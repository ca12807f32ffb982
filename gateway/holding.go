package gateway

import (
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
)

// holding is the set of stage results that a request holds.
type holding struct {
	t       *task
	mu      sync.Mutex
	handles map[int][]string
	zones   map[int]cicadapitch.ZoneID
	shards  map[int]batch.Shard
	gone    map[int]bool
}

func (h *holding) put(stage int, handles []string, zone cicadapitch.ZoneID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handles[stage], h.zones[stage] = handles, zone
}

func (h *holding) zone(stage int) cicadapitch.ZoneID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.zones[stage]
}

func (h *holding) setShard(stage int, s batch.Shard) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shards[stage] = s
}

func (h *holding) shard(stage int) batch.Shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shards[stage]
}

func (h *holding) get(stage int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.handles[stage]
}

func (h *holding) freed(stage int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gone[stage]
}

func (h *holding) free(stage int) {
	h.mu.Lock()
	handles := h.handles[stage]
	delete(h.handles, stage)
	if h.gone == nil {
		h.gone = map[int]bool{}
	}
	h.gone[stage] = true
	h.mu.Unlock()
	if len(handles) > 0 {
		h.t.g.free(FreeCall{Shard: h.shard(stage), Handles: handles})
	}
}

// release gives up all results that are still held.
func (h *holding) release() {
	h.mu.Lock()
	var stages []int
	for s := range h.handles {
		stages = append(stages, s)
	}
	h.mu.Unlock()
	for _, s := range stages {
		h.free(s)
	}
}

// releaseRest gives up the results of stages that still run.
func (h *holding) releaseRest(ends <-chan stageEnd, running int) {
	for range running {
		if end := <-ends; end.err == nil {
			h.put(end.stage, end.reply.Handles, end.reply.Zone)
			h.free(end.stage)
		}
	}
}
