package pipeline

import "cicadapitch.example/cicadapitch"

const (
	// Bounds of the time after which a refused request may be sent again.
	minRetryAfter cicadapitch.Millis = 50
	maxRetryAfter                    = 5 * cicadapitch.Second

	// Plans multiply expected waits by
	// waitFactorNumerator/waitFactorDenominator.
	waitFactorNumerator   = 3
	waitFactorDenominator = 2

	// stallTokenGaps is the stall timeout as a multiple of the pipeline's
	// target for the time between two tokens.
	stallTokenGaps = 20
	// minStallMillis is the shortest stall timeout. A sound engine may be silent for
	// somewhat more than a second.
	minStallMillis cicadapitch.Millis = 1600
)

// StallTimeout returns the time without a token after which a stream of the
// pipeline counts as stalled, or 0 if the pipeline has no target for the time
// between tokens.
func StallTimeout(p cicadapitch.Pipeline) cicadapitch.Millis {
	if p.BetweenTokens == 0 {
		return 0
	}
	return max(stallTokenGaps*p.BetweenTokens, minStallMillis)
}

// StageEstimate is the expected wait and service time of one stage.
type StageEstimate struct {
	Wait    cicadapitch.Millis
	Service cicadapitch.Millis
}

// Plan holds the estimates of the remaining stages of a request, in the order
// in which they run.
type Plan []StageEstimate

// Total returns a conservative estimate of the time that all stages take. It
// multiplies the expected waits by 1.5, because they come from load reports
// that lag behind.
func (p Plan) Total() cicadapitch.Millis {
	var sum cicadapitch.Millis
	for _, stage := range p {
		sum += stage.Wait*waitFactorNumerator/waitFactorDenominator + stage.Service
	}
	return sum
}

// ServiceTime returns the expected time of all stages without waits.
func (p Plan) ServiceTime() cicadapitch.Millis {
	var sum cicadapitch.Millis
	for _, stage := range p {
		sum += stage.Service
	}
	return sum
}

// Admit returns a NotRun error if the plan takes longer than the remaining
// time. Its RetryAfter is the excess, limited to the range from minRetryAfter to
// maxRetryAfter: by then the queues should be short enough. It is maxRetryAfter if
// the service times alone exceed the remaining time.
func (p Plan) Admit(remaining cicadapitch.Millis) error {
	excess := p.Total() - remaining
	if excess <= 0 {
		return nil
	}
	if p.ServiceTime() > remaining {
		return cicadapitch.NewError(cicadapitch.NotRun,
			"the deadline is shorter than the stages take", "send the request with a longer deadline").
			WithRetryAfter(maxRetryAfter)
	}
	return cicadapitch.NewNotRun("the queues are too long for the deadline",
		min(max(excess, minRetryAfter), maxRetryAfter))
}

// Split divides the remaining time among the stages. Budget is the target of
// the first stage, in proportion to its service time. Limit is the longest that
// the first stage may take if the later stages are to have their service times,
// and is at least budget. Both are 0 if no time or no stage remains.
func (p Plan) Split(remaining cicadapitch.Millis) (budget, limit cicadapitch.Millis) {
	if len(p) == 0 || remaining <= 0 {
		return 0, 0
	}
	service := max(p.ServiceTime(), 1)
	budget = max(remaining*p[0].Service/service, 1)
	limit = remaining - p[1:].ServiceTime()
	return budget, max(limit, budget)
}
