package rollout

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// ShardView holds the data that the next order in a shard depends on.
type ShardView struct {
	Now     cicadapitch.Instant
	Fencing cicadapitch.FencingNumber
	Pool    cicadapitch.Pool
	// Endpoints are all endpoints of the shard.
	Endpoints []cicadapitch.Endpoint
	// OutOfService marks the endpoints that get no requests, because they or
	// their zone are out of service.
	OutOfService map[cicadapitch.EndpointID]bool
	// Load is the current load of the shard.
	Load cicadapitch.ShardLoad
	// Index is the position of the shard, from 0, among the Count shards of its
	// pool.
	Index int
	Count int
}

// shardState is the rollout state of a shard under one claim of this host.
type shardState struct {
	fencing cicadapitch.FencingNumber
	// progress is the stored progress, with changes that are not yet saved.
	progress progress
	// superseded is true once an engine has rejected an order because it has
	// accepted one from a later owner. No further orders are sent then.
	superseded bool
	// lastTurn is the last turn in which an order was sent, -1 for none.
	lastTurn int64
	// paused is the engine that is paused until its work ends, if there is one.
	paused cicadapitch.EndpointID
	// engines holds the engines to which an order was sent under this claim.
	engines map[cicadapitch.EndpointID]*engineState
}

// engineState records the orders to one engine.
type engineState struct {
	// orderedAt is the time of the last order.
	orderedAt cicadapitch.Instant
	// failures counts the orders that have failed since the last success.
	failures int
	// retryAt is the time before which no order is sent after a failure.
	retryAt cicadapitch.Instant
}

func newShardState(f cicadapitch.FencingNumber, p progress) *shardState {
	return &shardState{fencing: f, progress: p, lastTurn: -1, engines: make(map[cicadapitch.EndpointID]*engineState)}
}

// nextOrder returns the engine to which an order is due now, and its target. It
// returns false if no order is due; the target is valid then too, unless the pool
// has none.
func (s *shardState) nextOrder(v ShardView, o options) (cicadapitch.Endpoint, Target, bool) {
	target, ok := targetOf(v.Pool)
	if !ok || s.superseded || !s.isTurn(v, o) {
		return cicadapitch.Endpoint{}, target, false
	}
	if s.pausedEngineDue(v, target, o) {
		return s.pausedEngine(v), target, true
	}
	var due []cicadapitch.Endpoint
	for _, e := range v.Endpoints {
		if s.isDue(v, e, target, o) && (v.OutOfService[e.ID] || hasSpareEngine(v)) {
			due = append(due, e)
		}
	}
	if len(due) == 0 {
		return cicadapitch.Endpoint{}, target, false
	}
	slices.SortStableFunc(due, func(a, b cicadapitch.Endpoint) int {
		return cmp.Compare(s.rank(v, a, target), s.rank(v, b, target))
	})
	return due[0], target, true
}

// pausedEngineDue reports whether there is a paused engine that still needs its
// order. It doesn't check the spare capacity of the shard, which has worked
// without the engine since it was paused.
func (s *shardState) pausedEngineDue(v ShardView, t Target, o options) bool {
	e := s.pausedEngine(v)
	return e.ID != "" && !s.superseded && s.isDue(v, e, t, o)
}

// pausedEngine returns the paused engine, or an empty endpoint if there is none.
func (s *shardState) pausedEngine(v ShardView) cicadapitch.Endpoint {
	e, _ := lo.Find(v.Endpoints, func(e cicadapitch.Endpoint) bool { return e.ID == s.paused })
	return e
}

// isTurn reports whether the shard may send an order in the current turn. Time is
// divided into turns of one interval, and the shards of a pool take turns in
// rotation, with one order in each. This limits the rate of orders without
// messages between owners. If their clocks differ by less than a turn, at most
// two orders coincide.
func (s *shardState) isTurn(v ShardView, o options) bool {
	turn := turnOf(v.Now, o)
	return turn != s.lastTurn && turn%int64(max(v.Count, 1)) == int64(v.Index)
}

// turnOf returns the number of the turn at a time.
func turnOf(now cicadapitch.Instant, o options) int64 { return int64(now) / int64(o.interval) }

// isDue reports whether an engine needs an order: either it has not accepted the
// target, or it doesn't check fencing numbers and a former owner may have
// overridden the last order.
func (s *shardState) isDue(v ShardView, e cicadapitch.Endpoint, t Target, o options) bool {
	state, ok := s.engines[e.ID]
	if ok && v.Now < state.retryAt {
		return false
	}
	if !s.progress.accepted(t, e.ID) {
		return true
	}
	return !v.Pool.ChecksFencing && (!ok || v.Now.Sub(state.orderedAt) >= o.repeatInterval)
}

// hasSpareEngine reports whether the shard can do without one of its engines: no
// request is queued, and the free slots cover the mean number of slots of the
// engines in service. It uses the current number of slots rather than the pool's
// warm slots, because engines in a cold start have few slots and warm up only
// under load.
func hasSpareEngine(v ShardView) bool {
	serving := max(len(v.Endpoints)-len(endpointsOutOfService(v)), 1)
	need := (int(v.Load.Total) + serving - 1) / serving
	return v.Load.Queued == 0 && int(v.Load.Free) >= need
}

// endpointsOutOfService returns the endpoints of a shard that are out of service.
func endpointsOutOfService(v ShardView) []cicadapitch.Endpoint {
	return lo.Filter(v.Endpoints, func(e cicadapitch.Endpoint, _ int) bool { return v.OutOfService[e.ID] })
}

// rank is the sort key of engines that need an order: engines out of service
// come first, engines that have already accepted the target last.
func (s *shardState) rank(v ShardView, e cicadapitch.Endpoint, t Target) int {
	switch {
	case s.progress.accepted(t, e.ID):
		return 2
	case v.OutOfService[e.ID]:
		return 0
	}
	return 1
}

// recordOrder records the result of an order to an engine. After an error it
// schedules a retry with exponential backoff, or stops all further orders if the
// engine reported a Conflict.
func (s *shardState) recordOrder(v ShardView, id cicadapitch.EndpointID, t Target, err error, o options) {
	s.lastTurn = turnOf(v.Now, o)
	state, ok := s.engines[id]
	if !ok {
		state = new(engineState)
		s.engines[id] = state
	}
	state.orderedAt = v.Now
	if err == nil {
		state.failures = 0
		state.retryAt = 0
		s.progress.recordAccepted(t, id)
		return
	}
	if cicadapitch.KindOf(err) == cicadapitch.Conflict {
		s.superseded = true
		return
	}
	state.failures++
	state.retryAt = v.Now.Add(min(o.minBackoff<<min(state.failures-1, maxDoublings), o.maxBackoff))
}
