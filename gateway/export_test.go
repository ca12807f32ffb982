package gateway

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
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

// ExpectedPace is the pace of an endpoint at the planner of a shard of g.
func ExpectedPace(g *Gateway, s batch.Shard, id cicadapitch.EndpointID) float64 {
	r := g.shards.runner(s)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.ExpectedPace(g.clock.Now(), id)
}
