package gateway

import (
	"github.com/uber-go/tally/v4"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/canary"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
)

// CallTimes is callTimes for tests.
type CallTimes struct{ times *callTimes }

// NewCallTimes returns call times without calls.
func NewCallTimes() CallTimes { return CallTimes{newCallTimes()} }

// Record is callTimes.record.
func (c CallTimes) Record(now cicadapitch.Instant, route string, took cicadapitch.Millis) {
	c.times.record(now, route, took)
}

// Longest is callTimes.longest.
func (c CallTimes) Longest(now cicadapitch.Instant, route string) (cicadapitch.Millis, bool) {
	return c.times.longest(now, route)
}

// HostCount is Gateway.hostCount.
func HostCount(g *Gateway) int { return g.hostCount() }

// CheckStageCall is StageCall.check.
func CheckStageCall(c StageCall) error { return c.check() }

// Rollout is a rollout for tests, of the service of its view's endpoints.
type Rollout struct {
	rollout *rollout
	list    []fleet.Endpoint
	// Session is that of the next requests, Shared the length of the prompt that it shares.
	Session string
	Shared  cicadapitch.Tokens
}

func (r *Rollout) request() rolloutRequest {
	return rolloutRequest{route: "route", timeout: cicadapitch.Second, session: r.Session, shared: r.Shared}
}

// NewRollout returns a host's part in a rollout of a service.
func NewRollout(now cicadapitch.Instant, s catalog.ServiceID, v *fleet.View) *Rollout {
	r := &Rollout{rollout: newRollout(v.Rollouts[s], s, tally.NoopScope), list: v.Endpoints(s)}
	r.rollout.update(now, v.Rollouts[s], v)
	return r
}

// Update applies a view.
func (r *Rollout) Update(now cicadapitch.Instant, v *fleet.View) {
	r.list = v.Endpoints(r.rollout.service)
	r.rollout.update(now, v.Rollouts[r.rollout.service], v)
}

// Answer applies an answer of the owner.
func (r *Rollout) Answer(now cicadapitch.Instant, p canary.Phase, share float64) {
	r.rollout.applyAnswer(now, now, RolloutAnswer{Known: true, Phase: p, Share: share})
}

// Candidates begins an attempt and returns the endpoints that it may go to, those of the old version if the
// new one cannot take it, and a function that ends the attempt: at an endpoint, or at none if the id is empty.
func (r *Rollout) Candidates(now cicadapitch.Instant) (list, fallback []fleet.Endpoint, end func(cicadapitch.EndpointID)) {
	s := r.rollout.reserve(now, r.request())
	list = r.rollout.candidates(now, r.list, s.isNew, nil)
	if s.isNew {
		fallback = r.rollout.fallback(now, r.list)
	}
	return list, fallback, func(id cicadapitch.EndpointID) {
		if id == "" {
			s.release()
			return
		}
		s.recordSent(now, id)
	}
}

// GoOn records that a stream goes on at an endpoint.
func (r *Rollout) GoOn(now cicadapitch.Instant, id cicadapitch.EndpointID) {
	(&reservation{rollout: r.rollout}).recordSent(now, id)
}

// Forbids is rollout.forbids.
func (r *Rollout) Forbids(v cicadapitch.SoftwareVersion) bool { return r.rollout.forbids(v) }

// Planned is rollout.planned.
func (r *Rollout) Planned(now cicadapitch.Instant) []fleet.Endpoint {
	return r.rollout.planned(now, r.list)
}

// Call records a call of an endpoint that ends after some time.
func (r *Rollout) Call(now cicadapitch.Instant, id cicadapitch.EndpointID, failed bool, took cicadapitch.Millis) {
	key := callKey{new(int), id}
	r.rollout.begin(now, key, r.request())
	if !failed {
		r.rollout.recordAnswer(now.Add(took), key)
	}
	r.rollout.end(now.Add(took), key, failed)
}

// Begin records a call of an endpoint that does not end.
func (r *Rollout) Begin(now cicadapitch.Instant, id cicadapitch.EndpointID) {
	r.rollout.begin(now, callKey{new(int), id}, r.request())
}

// Report returns the report of a host.
func (r *Rollout) Report(now cicadapitch.Instant) canary.Report {
	return r.rollout.report(now, r.rollout.phaseInForce(), nil)
}

// LoadShare is loadShare.
func LoadShare(now cicadapitch.Instant, share float64, oldCount int) float64 {
	return loadShare(now, share, oldCount)
}

// ExpectedPace is the pace of an endpoint at the planner of a shard of g.
func ExpectedPace(g *Gateway, s batch.Shard, id cicadapitch.EndpointID) float64 {
	r := g.shards.runner(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.ExpectedPace(g.clock.Now(), id)
}
