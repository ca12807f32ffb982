package pipeline

import "cicadapitch.example/cicadapitch"

const (
	minRetryMillis cicadapitch.Millis = 50
	maxRetryMillis                    = 5 * cicadapitch.Second

	// waitMargin over waitMarginUnit is the factor of the waits in a plan.
	waitMargin     = 3
	waitMarginUnit = 2

	// stallGaps is the number of targets between two tokens after which a
	// stream counts as stalled.
	stallGaps                         = 20
	minStallMillis cicadapitch.Millis = 1000
)

// StallTimeout returns the span without a token after which a stream of the
// pipeline counts as stalled, 0 where the pipeline has no target for it.
func StallTimeout(p cicadapitch.Pipeline) cicadapitch.Millis {
	if p.BetweenTokens == 0 {
		return 0
	}
	return max(stallGaps*p.BetweenTokens, minStallMillis)
}

// StageEstimate is what one stage of a plan is expected to take.
type StageEstimate struct {
	Wait    cicadapitch.Millis
	Service cicadapitch.Millis
}

// Plan is the expected course of the stages that a request still has before
// it.
type Plan []StageEstimate

// Total returns the span that the whole plan takes with some certainty. Waits
// count more than expected, because the loads they come from lag.
func (p Plan) Total() cicadapitch.Millis {
	var sum cicadapitch.Millis
	for _, part := range p {
		sum += part.Wait*waitMargin/waitMarginUnit + part.Service
	}
	return sum
}

// ServiceTime returns the expected span of the plan without waiting.
func (p Plan) ServiceTime() cicadapitch.Millis {
	var sum cicadapitch.Millis
	for _, part := range p {
		sum += part.Service
	}
	return sum
}

// Admit refuses a plan that cannot end within left, with the span after which
// the queues that it found will have drained far enough.
func (p Plan) Admit(left cicadapitch.Millis) error {
	over := p.Total() - left
	if over <= 0 {
		return nil
	}
	if p.ServiceTime() > left {
		return cicadapitch.NewError(cicadapitch.NotRun,
			"the deadline is shorter than the stages take", "send the request with a longer deadline").
			WithRetryAfter(maxRetryMillis)
	}
	return cicadapitch.NewNotRun("the queues are too long for the deadline",
		min(max(over, minRetryMillis), maxRetryMillis))
}

// Split divides the span that is left among the stages. Budget is the first
// stage's part by its service time. Limit is the latest end that leaves the
// later stages their service times.
func (p Plan) Split(left cicadapitch.Millis) (budget, limit cicadapitch.Millis) {
	if len(p) == 0 || left <= 0 {
		return 0, 0
	}
	service := max(p.ServiceTime(), 1)
	budget = max(left*p[0].Service/service, 1)
	limit = left - p[1:].ServiceTime()
	return budget, max(limit, budget)
}
