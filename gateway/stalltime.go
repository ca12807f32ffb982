package gateway

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
)

const (
	// minStallTime is the least time after which a caller or an endpoint that takes or sends nothing is given up. A
	// steady reader of 1 KB/s opens its TCP window in steps of a sixteenth of its buffer, 8 KB in 8 s at the usual
	// 128 KB.
	minStallTime = 10 * cicadapitch.Second
	// stallTimeoutShare is the share of a route's timeout that may pass without progress.
	stallTimeoutShare = 0.125
)

// stallTime returns for how long the caller or the endpoint of a request of a route may make no progress. A
// caller that waits long for an answer, or for an event, may also pause for longer while it reads it. The
// deadline of the request bounds the time in any case.
func stallTime(r *catalog.Route) cicadapitch.Millis {
	return max(minStallTime, abandonGapFactor*r.TargetGap, cicadapitch.Millis(stallTimeoutShare*float64(r.Timeout)))
}

// RequestTimes returns when the time of a request is over, and for how long its caller may send nothing. It is for
// requests whose body has not come yet.
func (g *Gateway) RequestTimes(r *catalog.Request) (cicadapitch.Instant, cicadapitch.Millis) {
	p := &proxiedRequest{request: r, route: &catalog.Route{}}
	if c := g.membership.View().Catalog; c != nil {
		if route := c.Match(normalizeHost(r.Host), r.Path); route != nil {
			p.route = route
		}
	}
	return p.requestDeadline(), stallTime(p.route)
}
