package gateway

import (
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
)

// heldResults holds the handles of one request's stage results until they are freed.
// The maps are keyed by the index of the stage. heldResults is safe for concurrent
// use.
type heldResults struct {
	request *proxiedRequest
	mu      sync.Mutex
	handles map[int][]string
	zones   map[int]cicadapitch.ZoneID
	shards  map[int]batch.Shard
	freed   map[int]bool
}

// setResults records the results of a stage and the zone where most of them are.
func (h *heldResults) setResults(stage int, handles []string, zone cicadapitch.ZoneID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handles[stage], h.zones[stage] = handles, zone
}

// zoneOf returns the zone that holds most results of a stage.
func (h *heldResults) zoneOf(stage int) cicadapitch.ZoneID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.zones[stage]
}

// setShard records the shard that ran a stage.
func (h *heldResults) setShard(stage int, s batch.Shard) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shards[stage] = s
}

// shardOf returns the shard that ran a stage.
func (h *heldResults) shardOf(stage int) batch.Shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shards[stage]
}

// handlesOf returns the handles of a stage's results, or nil if it has not ended
// or they were freed.
func (h *heldResults) handlesOf(stage int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.handles[stage]
}

// isFreed reports whether the results of a stage were freed.
func (h *heldResults) isFreed(stage int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.freed[stage]
}

// free frees the results of a stage through the owner of its shard.
func (h *heldResults) free(stage int) {
	h.mu.Lock()
	handles := h.handles[stage]
	delete(h.handles, stage)
	if h.freed == nil {
		h.freed = map[int]bool{}
	}
	h.freed[stage] = true
	h.mu.Unlock()
	if len(handles) > 0 {
		h.request.g.freeResults(FreeCall{Shard: h.shardOf(stage), Handles: handles})
	}
}

// countUnused counts the results that are still held and will not be used.
func (h *heldResults) countUnused(cause string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, handles := range h.handles {
		n += len(handles)
	}
	if n > 0 {
		h.request.g.metrics.Tagged(map[string]string{"Route": h.request.route.Name, "Cause": cause}).Counter("UnusedStageResults").Inc(int64(n))
	}
}

// freeAll frees all results that are still held.
func (h *heldResults) freeAll() {
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

// markFetched tells the owners of the results that are still held that the engine has most likely
// fetched them. They are freed where their endpoint lacks memory.
func (h *heldResults) markFetched() {
	h.mu.Lock()
	var calls []FreeCall
	for s, handles := range h.handles {
		if len(handles) > 0 {
			calls = append(calls, FreeCall{Shard: h.shards[s], Handles: handles, IfNeeded: true})
		}
	}
	h.mu.Unlock()
	for _, c := range calls {
		h.request.g.freeResults(c)
	}
}

// freeLateResults receives n more outcomes of stages and frees the results in them.
func (h *heldResults) freeLateResults(outcomes <-chan stageOutcome, n int) {
	for range n {
		if outcome := <-outcomes; outcome.err == nil {
			h.setResults(outcome.stage, outcome.reply.Handles, outcome.reply.Zone)
			h.free(outcome.stage)
		}
	}
}
