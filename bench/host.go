package bench

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/customer"
	"cicadapitch.example/cicadapitch/endpoint"
	"cicadapitch.example/cicadapitch/pipeline"
)

// The retry budget of an entry host.
const (
	retryRatio = 0.05
	retryCap   = 10
)

// host is an entry host with what it knows about the shards.
type host struct {
	s         *sim
	zone      cicadapitch.ZoneID
	dead      bool
	budget    pipeline.RetryBudget
	estimates map[stageKey]pipeline.Estimate
	views     map[cicadapitch.ShardID]*view
	throttles map[throttleKey]customer.Throttle
	turn      int
}

type throttleKey struct {
	customer int
	stage    stageKey
}

type stageKey struct {
	pipeline cicadapitch.PipelineID
	stage    cicadapitch.StageID
}

// view is what a host knows about one shard.
type view struct {
	load     cicadapitch.ShardLoad
	known    bool
	readAt   cicadapitch.Instant
	inflight int
	since    int
}

func newHost(s *sim, zone cicadapitch.ZoneID) *host {
	return &host{
		s:         s,
		zone:      zone,
		budget:    pipeline.NewRetryBudget(retryRatio, retryCap),
		estimates: make(map[stageKey]pipeline.Estimate),
		throttles: make(map[throttleKey]customer.Throttle),
		views:     make(map[cicadapitch.ShardID]*view),
	}
}

func (h *host) view(id cicadapitch.ShardID) *view {
	v, ok := h.views[id]
	if !ok {
		v = &view{}
		h.views[id] = v
	}
	return v
}

func (h *host) observe(id cicadapitch.ShardID, load cicadapitch.ShardLoad) {
	v := h.view(id)
	v.load = load
	v.known = true
	v.readAt = h.s.now
	v.since = 0
}

// heartbeat takes the loads that the owners spread.
func (h *host) heartbeat() {
	for _, o := range h.s.owners {
		if o.host != nil {
			h.observe(o.shard.ID, o.state.Load(h.s.now))
		}
	}
}

func (h *host) state(id cicadapitch.ShardID) pipeline.ShardState {
	v := h.view(id)
	return pipeline.ShardState{
		LoadKnown: v.known, Load: v.load, LoadAge: h.s.now.Sub(v.readAt), Inflight: v.inflight, SentSinceLoad: v.since,
	}
}

func (h *host) estimate(k stageKey, st cicadapitch.Stage) pipeline.Estimate {
	e, ok := h.estimates[k]
	if !ok {
		e = pipeline.NewEstimate(st.ExpectedMillis)
		h.estimates[k] = e
	}
	return e
}

// choose picks the shard for a stage.
func (h *host) choose(r *request, i int, budget cicadapitch.Millis, avoid []cicadapitch.ShardID) (pipeline.ShardChoice, bool) {
	st := r.pipeline.Stages[i]
	g := h.s.groups[st.Pool]
	if g == nil || len(g.Members) == 0 {
		return pipeline.ShardChoice{}, false
	}
	expected := h.estimate(stageKey{r.pipeline.ID, st.ID}, st).MeanMillis()
	switch h.s.policy.Shards {
	case endpoint.RoundRobin:
		h.turn++
		return h.plain(g, h.turn%len(g.Members), expected), true
	case endpoint.LeastOutstanding:
		least := 0
		for n, m := range g.Members {
			if h.view(m.Shard).inflight < h.view(g.Members[least].Shard).inflight {
				least = n
			}
		}
		return h.plain(g, least, expected), true
	}
	return pipeline.ChooseShard(g,
		func(n int) pipeline.ShardState { return h.state(g.Members[n].Shard) },
		pipeline.ShardQuery{
			Prefix: r.prefix, Zone: h.zone, Region: "region", Expected: expected, Budget: budget,
			Weight: h.s.cfg.Weight, Avoid: avoid, Random: h.s.rng.Uint64(), Hosts: len(h.s.hosts),
		})
}

func (h *host) plain(g *pipeline.ShardGroup, n int, expected cicadapitch.Millis) pipeline.ShardChoice {
	return pipeline.ShardChoice{Shard: g.Members[n].Shard, Zone: g.Members[n].Zone, Service: expected}
}

func (r *request) throttle() throttleKey {
	return throttleKey{r.customer, stageKey{r.pipeline.ID, r.pipeline.Stages[r.stage].ID}}
}

// throttled returns whether the customer is to be refused, and when to come
// back.
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

// patient returns the plan without the waits at stages where the customer's work
// has not been refused lately, since the queues there may be those of others.
func (h *host) patient(r *request, plan pipeline.Plan) pipeline.Plan {
	for i, st := range r.pipeline.Stages {
		if !h.throttles[throttleKey{r.customer, stageKey{r.pipeline.ID, st.ID}}].Contended(h.s.now) {
			plan[i].Wait = 0
		}
	}
	return plan
}

// plan returns the expected course of the stages from the given one on, and
// the choice for that one.
func (h *host) plan(r *request, from int, avoid []cicadapitch.ShardID) (pipeline.Plan, pipeline.ShardChoice, bool) {
	var plan pipeline.Plan
	var first pipeline.ShardChoice
	for i := from; i < len(r.pipeline.Stages); i++ {
		c, ok := h.choose(r, i, 0, avoid)
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
