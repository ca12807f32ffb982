package standin

import "cicadapitch.example/cicadapitch"

// EngineOption sets an option of an Engine.
type EngineOption func(*Engine)

// WithTokenTime sets the service time of a token, and the fraction by which it
// grows for each other request that runs.
func WithTokenTime(m cicadapitch.Millis, growth float64) EngineOption {
	return func(e *Engine) { e.tokenTime, e.growth = m, growth }
}

// WithSlots sets the number of requests that run concurrently. Further requests
// wait in a queue.
func WithSlots(n cicadapitch.Slots) EngineOption {
	return func(e *Engine) { e.slots = n }
}

// WithEngineColdStart makes the engine begin in a cold start. While cold, it
// runs at most the given number of requests concurrently and fails further
// ones. It becomes warm after the given number of completions.
func WithEngineColdStart(slots cicadapitch.Slots, completions int) EngineOption {
	return func(e *Engine) {
		e.coldSlots, e.warmAfter = slots, completions
		e.completionsToWarm = completions
	}
}

// WithReportLag sets the age of the load that GET /load shows.
func WithReportLag(m cicadapitch.Millis) EngineOption {
	return func(e *Engine) { e.reports.lag = m }
}

// WithFencingCheck makes the engine refuse orders whose fencing number is lower
// than that of an earlier order.
func WithFencingCheck() EngineOption {
	return func(e *Engine) { e.checksFencing = true }
}
