package gateway

import "cicadapitch.example/cicadapitch"

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
