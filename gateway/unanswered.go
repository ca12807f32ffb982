package gateway

import (
	"strconv"

	"cicadapitch.example/cicadapitch/catalog"
)

// logUnanswered logs and counts a request that ends without a whole answer: whether its caller has
// left, how far it had come, and how the configuration has changed since it was admitted.
func (p *proxiedRequest) logUnanswered(callerGone bool, err error) {
	inForce, now := p.g.membership.View().Catalog, p.g.clock.Now()
	var route *catalog.Route
	if inForce != nil {
		route = inForce.Match(normalizeHost(p.request.Host), p.request.Path)
	}
	event := p.g.log.Warn().Str("Id", string(p.request.ID)).Str("Route", p.route.Name).Bool("CallerGone", callerGone).
		Bool("Begun", p.answer.HeaderWritten()).Int64("Bytes", p.answer.BytesWritten()).
		Int("Sent", p.attempts).Bool("MayRun", p.mayHaveRun).Int64("TookMs", int64(now.Sub(p.request.Arrived))).
		Int64("LeftMs", int64(p.deadline.Sub(now))).Int64("TimeoutMs", int64(p.route.Timeout)).Int64("Config", p.view.Catalog.Version)
	if inForce != nil {
		event.Int64("ConfigInForce", inForce.Version)
	}
	if route != nil {
		event.Int64("TimeoutInForceMs", int64(route.Timeout))
	}
	event.Err(err).Msg("unanswered")
	p.g.metrics.Tagged(map[string]string{"CallerGone": strconv.FormatBool(callerGone)}).Counter("Unanswered").Inc(1)
}
