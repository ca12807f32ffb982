package gateway

import (
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/catalog"
)

// stageRoute is the name under which the calls of a stage service are counted for its rollout, since one call
// carries pieces of several routes.
const stageRoute = "stage"

// planEndpoints gives the planner the endpoints of the shard, those that a rollout of the service allows. The
// caller holds mu.
func (r *shardRunner) planEndpoints(now cicadapitch.Instant) {
	list := r.inUse
	if ro := r.shards.rolloutOf(r.shard.Service); ro != nil {
		list = ro.planned(now, list)
	}
	endpoints := make([]catalog.Endpoint, 0, len(list))
	for _, e := range list {
		endpoints = append(endpoints, e.Endpoint)
	}
	r.planner.SetEndpoints(endpoints)
}

// limitVersion bounds the next calls at the new version of a rollout. The caller holds mu.
func (r *shardRunner) limitVersion(now cicadapitch.Instant) {
	if ro := r.shards.rolloutOf(r.shard.Service); ro != nil {
		r.planner.SetVersionLimit(ro.versionLimit(now))
		return
	}
	r.planner.SetVersionLimit(nil)
}

// recordStart records that a call is sent to an endpoint. The caller holds mu.
func (r *shardRunner) recordStart(now cicadapitch.Instant, c batch.Call) {
	id := c.Endpoint.ID
	r.running[id]++
	if ro := r.shards.rolloutOf(r.shard.Service); ro != nil {
		ro.begin(now, r.callKey(c), rolloutRequest{route: stageRoute})
		(&reservation{rollout: ro}).recordSent(now, id)
	}
}

// recordEnd records that a call has ended, and for a rollout whether it has failed. A refusal and what a piece
// lacks at other endpoints say nothing of the version. The caller holds mu.
func (r *shardRunner) recordEnd(now cicadapitch.Instant, c batch.Call, failure batch.Failure, results []batch.PieceResult) {
	id := c.Endpoint.ID
	if r.running[id]--; r.running[id] == 0 {
		delete(r.running, id)
	}
	ro := r.shards.rolloutOf(r.shard.Service)
	if ro == nil {
		return
	}
	if failure == batch.NoFailure {
		ro.recordAnswer(now, r.callKey(c))
	}
	failed := failure == batch.CallFailed || slices.ContainsFunc(results, func(p batch.PieceResult) bool { return p.Failed })
	ro.end(now, r.callKey(c), failed)
}

// stageCaller identifies a call of pieces.
type stageCaller struct {
	runner *shardRunner
	call   batch.CallID
}

// callKey identifies a call for the rollout of the service.
func (r *shardRunner) callKey(c batch.Call) callKey {
	return callKey{stageCaller{r, c.ID}, c.Endpoint.ID}
}

// rolloutOf returns the rollout of a service, or nil.
func (s *ShardRunners) rolloutOf(service catalog.ServiceID) *rollout {
	if s.rollouts == nil {
		return nil
	}
	return s.rollouts.of(service)
}

// runnersOf returns the runners of a stage service.
func (s *ShardRunners) runnersOf(service catalog.ServiceID) []*shardRunner {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*shardRunner
	for shard, r := range s.runners {
		if shard.Service == service {
			list = append(list, r)
		}
	}
	return list
}

// applyRollout plans the calls of a stage service by its rollout as it is now.
func (s *ShardRunners) applyRollout(service catalog.ServiceID) {
	for _, r := range s.runnersOf(service) {
		r.mu.Lock()
		now := s.clock.Now()
		r.planEndpoints(now)
		r.applyPlan(now)
		r.mu.Unlock()
	}
}

// runningCalls returns the running calls of a stage service by endpoint.
func (s *ShardRunners) runningCalls(service catalog.ServiceID) map[cicadapitch.EndpointID]int {
	running := map[cicadapitch.EndpointID]int{}
	for _, r := range s.runnersOf(service) {
		r.mu.Lock()
		for id, n := range r.running {
			running[id] += n
		}
		r.mu.Unlock()
	}
	return running
}
