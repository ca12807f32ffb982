package bench

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
	"cicadapitch.example/cicadapitch/endpoint"
	"cicadapitch.example/cicadapitch/pipeline"
)

// Parameters of the retry budget of an entry host.
const (
	retryBudgetRatio = 0.05
	retryBudgetCap   = 10
)

// host is an entry host with its estimates and its view of the shards.
type host struct {
	s         *sim
	zone      cicadapitch.ZoneID
	dead      bool
	budget    pipeline.RetryBudget
	estimates map[stageKey]pipeline.Estimate
	views     map[cicadapitch.ShardID]*shardView
	throttles map[throttleKey]customer.Throttle
	// nextShard counts the choices of the policy "round robin".
	nextShard int
}

type throttleKey struct {
	customer int
	stage    stageKey
}

type stageKey struct {
	pipeline cicadapitch.PipelineID
	stage    cicadapitch.StageID
}

// shardView is what an entry host knows about a shard.
type shardView struct {
	// load is the last known load, read at readAt. It is valid if loadKnown is
	// true.
	load      cicadapitch.ShardLoad
	loadKnown bool
	readAt    cicadapitch.Instant
	// inflight counts the attempts that the host has sent and that have not
	// ended. sentSinceLoad counts the attempts sent since load was read, but at
	// most inflight.
	inflight      int
	sentSinceLoad int
}

func newHost(s *sim, zone cicadapitch.ZoneID) *host {
	return &host{
		s:         s,
		zone:      zone,
		budget:    pipeline.NewRetryBudget(retryBudgetRatio, retryBudgetCap),
		estimates: make(map[stageKey]pipeline.Estimate),
		throttles: make(map[throttleKey]customer.Throttle),
		views:     make(map[cicadapitch.ShardID]*shardView),
	}
}

// view returns the view of a shard, creating an empty one if there is none.
func (h *host) view(id cicadapitch.ShardID) *shardView {
	v, ok := h.views[id]
	if !ok {
		v = &shardView{}
		h.views[id] = v
	}
	return v
}

// recordLoad stores a load of a shard, read now.
func (h *host) recordLoad(id cicadapitch.ShardID, load cicadapitch.ShardLoad) {
	v := h.view(id)
	v.load = load
	v.loadKnown = true
	v.readAt = h.s.now
	v.sentSinceLoad = 0
}

// receiveLoads stores the current loads of all shards that have an owner.
func (h *host) receiveLoads() {
	for _, o := range h.s.owners {
		if o.host != nil {
			h.recordLoad(o.shard.ID, o.state.Load(h.s.now))
		}
	}
}

// shardState returns the view of a shard in the form that package pipeline uses.
func (h *host) shardState(id cicadapitch.ShardID) pipeline.ShardState {
	v := h.view(id)
	return pipeline.ShardState{
		LoadKnown: v.loadKnown, Load: v.load, LoadAge: h.s.now.Sub(v.readAt), Inflight: v.inflight, SentSinceLoad: v.sentSinceLoad,
	}
}

// estimate returns the estimated service time of a stage, which begins with the
// configured one.
func (h *host) estimate(k stageKey, st cicadapitch.Stage) pipeline.Estimate {
	e, ok := h.estimates[k]
	if !ok {
		e = pipeline.NewEstimate(st.ExpectedMillis)
		h.estimates[k] = e
	}
	return e
}

// chooseShard chooses the shard for stage i by the policy. It returns false if
// the pool has no shard or none is suitable.
func (h *host) chooseShard(r *request, i int, timeBudget cicadapitch.Millis, avoid []cicadapitch.ShardID) (pipeline.ShardChoice, bool) {
	st := r.pipeline.Stages[i]
	g := h.s.groups[st.Pool]
	if g == nil || len(g.Members) == 0 {
		return pipeline.ShardChoice{}, false
	}
	expected := h.estimate(stageKey{r.pipeline.ID, st.ID}, st).MeanMillis()
	switch h.s.policy.Shards {
	case endpoint.RoundRobin:
		h.nextShard++
		return h.choiceOf(g, h.nextShard%len(g.Members), expected), true
	case endpoint.LeastOutstanding:
		least := 0
		for n, m := range g.Members {
			if h.view(m.Shard).inflight < h.view(g.Members[least].Shard).inflight {
				least = n
			}
		}
		return h.choiceOf(g, least, expected), true
	}
	return pipeline.ChooseShard(g,
		func(n int) pipeline.ShardState { return h.shardState(g.Members[n].Shard) },
		pipeline.ShardQuery{
			Prefix: r.prefix, Zone: h.zone, Region: "region", Expected: expected, Budget: timeBudget,
			Weight: h.s.cfg.Weight, Avoid: avoid, Random: h.s.rng.Uint64(), Hosts: len(h.s.hosts),
		})
}

// choiceOf returns the choice of member n, with no expected wait.
func (h *host) choiceOf(g *pipeline.ShardGroup, n int, expected cicadapitch.Millis) pipeline.ShardChoice {
	return pipeline.ShardChoice{Shard: g.Members[n].Shard, Zone: g.Members[n].Zone, Service: expected}
}

// throttleKey returns the key of the throttle for the current stage of the
// request.
func (r *request) throttleKey() throttleKey {
	return throttleKey{r.customer, stageKey{r.pipeline.ID, r.pipeline.Stages[r.stage].ID}}
}

// throttled returns whether to refuse the customer's request, and after what
// time the customer may retry.
func (h *host) throttled(r *request) (cicadapitch.Millis, bool) {
	for _, st := range r.pipeline.Stages {
		k := throttleKey{r.customer, stageKey{r.pipeline.ID, st.ID}}
		t, after, refuse := h.throttles[k].DecideRefusal(h.s.now, h.s.rng.Float64())
		h.throttles[k] = t
		if refuse {
			return after, true
		}
	}
	return 0, false
}

// withoutUncontendedWaits returns the plan without the waits at stages where
// the customer's work has not been refused recently, because the work queued
// there may belong to other customers.
func (h *host) withoutUncontendedWaits(r *request, plan pipeline.Plan) pipeline.Plan {
	for i, st := range r.pipeline.Stages {
		if !h.throttles[throttleKey{r.customer, stageKey{r.pipeline.ID, st.ID}}].Contended(h.s.now) {
			plan[i].Wait = 0
		}
	}
	return plan
}

// plan returns the expected waits and service times of the stages beginning
// with from, and the shard chosen for stage from. It returns false if a stage
// has no shard.
func (h *host) plan(r *request, from int, avoid []cicadapitch.ShardID) (pipeline.Plan, pipeline.ShardChoice, bool) {
	var plan pipeline.Plan
	var first pipeline.ShardChoice
	for i := from; i < len(r.pipeline.Stages); i++ {
		c, ok := h.chooseShard(r, i, 0, avoid)
		if !ok {
			return nil, first, false
		}
		if i == from {
			first = c
		}
		st := r.pipeline.Stages[i]
		service := h.estimate(stageKey{r.pipeline.ID, st.ID}, st).MeanMillis()
		plan = append(plan, pipeline.StageEstimate{Wait: c.Wait, Service: service})
	}
	return plan, first, true
}
