package standin

import "cicadapitch.example/cicadapitch"

// EngineOption sets an option of an Engine.
type EngineOption func(*Engine)

// WithTokenTime sets the service time of a token and, for each other request
// that runs, the part by which it grows.
func WithTokenTime(m cicadapitch.Millis, growth float64) EngineOption {
	return func(e *Engine) { e.tokenTime, e.growth = m, growth }
}

// WithSlots sets how many requests run at once; others wait.
func WithSlots(n cicadapitch.Slots) EngineOption {
	return func(e *Engine) { e.slots = n }
}

// WithEngineColdStart starts the engine cold. Cold, it bears slots requests and fails
// those above; it is warm after the given number of completions.
func WithEngineColdStart(slots cicadapitch.Slots, completions int) EngineOption {
	return func(e *Engine) {
		e.coldSlots, e.warmAfter = slots, completions
		e.coldLeft = completions
	}
}

// WithReportLag lets GET /load show the load of the given span ago.
func WithReportLag(m cicadapitch.Millis) EngineOption {
	return func(e *Engine) { e.reports.lag = m }
}

// WithFencingCheck lets the engine refuse orders with an old fencing number.
func WithFencingCheck() EngineOption {
	return func(e *Engine) { e.checksFencing = true }
}
