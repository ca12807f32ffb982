package rollout

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// ShardView is what a decision about one shard looks at.
type ShardView struct {
	Now     cicadapitch.Instant
	Fencing cicadapitch.FencingNumber
	Pool    cicadapitch.Pool
	// Endpoints are those of the shard. Idle are the ones that take no
	// requests, because they or their zone are out of service.
	Endpoints    []cicadapitch.Endpoint
	OutOfService map[cicadapitch.EndpointID]bool
	// Load is the present load of the shard.
	Load cicadapitch.ShardLoad
	// Index is the place of the shard among the Count shards of its pool.
	Index int
	Count int
}

// shard is what the owner of a shard knows of its engines.
type shard struct {
	fencing cicadapitch.FencingNumber
	// progress is what the store holds, or will once it can be written.
	progress progress
	// superseded is true once an engine has seen a later owner.
	superseded bool
	// turn is the last turn in which an order was given.
	turn int64
	// paused is the engine that waits for its work to end before its order.
	paused  cicadapitch.EndpointID
	engines map[cicadapitch.EndpointID]*engine
}

// engine is what the owner knows of its own orders to one engine.
type engine struct {
	at       cicadapitch.Instant
	failures int
	retryAt  cicadapitch.Instant
}

func newShard(f cicadapitch.FencingNumber, p progress) *shard {
	return &shard{fencing: f, progress: p, turn: -1, engines: make(map[cicadapitch.EndpointID]*engine)}
}

// next returns the engine to order now, if there is one.
func (s *shard) next(v ShardView, o options) (cicadapitch.Endpoint, Target, bool) {
	target, ok := targetOf(v.Pool)
	if !ok || s.superseded || !s.isTurn(v, o) {
		return cicadapitch.Endpoint{}, target, false
	}
	if s.stillDue(v, target, o) {
		return s.pausedEngine(v), target, true
	}
	var due []cicadapitch.Endpoint
	for _, e := range v.Endpoints {
		if s.isDue(v, e, target, o) && (v.OutOfService[e.ID] || spares(v)) {
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

// stillDue tells whether the paused engine, if there is one, still needs its
// order. Its shard has done without it since it was paused.
func (s *shard) stillDue(v ShardView, t Target, o options) bool {
	e := s.pausedEngine(v)
	return e.ID != "" && !s.superseded && s.isDue(v, e, t, o)
}

func (s *shard) pausedEngine(v ShardView) cicadapitch.Endpoint {
	e, _ := lo.Find(v.Endpoints, func(e cicadapitch.Endpoint) bool { return e.ID == s.paused })
	return e
}

// isTurn divides time into turns of one order each, which the shards of a pool
// take in rotation. Owners need no messages to keep the common pace; their
// clocks being apart by less than a turn lets at most two orders meet.
func (s *shard) isTurn(v ShardView, o options) bool {
	turn := turnOf(v.Now, o)
	return turn != s.turn && turn%int64(max(v.Count, 1)) == int64(v.Index)
}

func turnOf(now cicadapitch.Instant, o options) int64 { return int64(now) / int64(o.interval) }

// isDue tells whether an engine needs an order: it does not serve the target
// yet, or a former owner may have overridden it.
func (s *shard) isDue(v ShardView, e cicadapitch.Endpoint, t Target, o options) bool {
	g, ok := s.engines[e.ID]
	if ok && v.Now < g.retryAt {
		return false
	}
	if !s.progress.has(t, e.ID) {
		return true
	}
	return !v.Pool.ChecksFencing && (!ok || v.Now.Sub(g.at) >= o.repeat)
}

// spares tells whether the shard can do without one of its engines, counted as
// the mean of what those in service bear now. Engines in a cold start bear
// little and warm up only under load, so their warm slots are no measure.
func spares(v ShardView) bool {
	serving := max(len(v.Endpoints)-len(idle(v)), 1)
	need := (int(v.Load.Total) + serving - 1) / serving
	return v.Load.Queued == 0 && int(v.Load.Free) >= need
}

func idle(v ShardView) []cicadapitch.Endpoint {
	return lo.Filter(v.Endpoints, func(e cicadapitch.Endpoint, _ int) bool { return v.OutOfService[e.ID] })
}

// rank puts engines without requests first and mere repeats last.
func (s *shard) rank(v ShardView, e cicadapitch.Endpoint, t Target) int {
	switch {
	case s.progress.has(t, e.ID):
		return 2
	case v.OutOfService[e.ID]:
		return 0
	}
	return 1
}

// done records the outcome of an order.
func (s *shard) done(v ShardView, id cicadapitch.EndpointID, t Target, err error, o options) {
	s.turn = turnOf(v.Now, o)
	g, ok := s.engines[id]
	if !ok {
		g = new(engine)
		s.engines[id] = g
	}
	g.at = v.Now
	if err == nil {
		g.failures = 0
		g.retryAt = 0
		s.progress.add(t, id)
		return
	}
	if cicadapitch.KindOf(err) == cicadapitch.Conflict {
		s.superseded = true
		return
	}
	g.failures++
	g.retryAt = v.Now.Add(min(o.backoff<<min(g.failures-1, maxDoublings), o.maxBackoff))
}
