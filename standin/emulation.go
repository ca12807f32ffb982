package standin

import (
	"math/rand/v2"
	"net/http"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/questionnaire"
)

// Defaults of an emulation.
const (
	// DefaultGrowth is the part by which a token's service time grows for
	// each other request in the batch.
	DefaultGrowth                       = 0.03
	DefaultLoadReportLag       cicadapitch.Millis = 500
	DefaultWarmAfter                    = 4
)

// Emulation is a stand-in for each endpoint of a deployment. A pool's service
// times are the shortest that its stages expect.
type Emulation struct {
	clock     cicadapitch.Clock
	speed     float64
	growth    float64
	lag       cicadapitch.Millis
	warmAfter int
	coldStart bool
	more      []EngineOption
	endpoints []http.Handler
	engines   []*Engine
}

// EmulationOption sets an option of an Emulation.
type EmulationOption func(*Emulation)

// WithSpeed divides all service times by factor; 0 leaves none.
func WithSpeed(factor float64) EmulationOption {
	return func(e *Emulation) { e.speed = factor }
}

// WithGrowth sets the growth of service times under batching.
func WithGrowth(growth float64) EmulationOption {
	return func(e *Emulation) { e.growth = growth }
}

// WithLoadReportLag sets the lag of the load reports.
func WithLoadReportLag(m cicadapitch.Millis) EmulationOption {
	return func(e *Emulation) { e.lag = m }
}

// WithColdStart starts the engines cold.
func WithColdStart() EmulationOption {
	return func(e *Emulation) { e.coldStart = true }
}

// WithEngineOptions gives further options to all engines.
func WithEngineOptions(opts ...EngineOption) EmulationOption {
	return func(e *Emulation) { e.more = append(e.more, opts...) }
}

// NewEmulation returns stand-ins for all endpoints of the answers.
func NewEmulation(clock cicadapitch.Clock, a *questionnaire.Answers, opts ...EmulationOption) *Emulation {
	e := &Emulation{clock: clock, speed: 1, growth: DefaultGrowth, lag: DefaultLoadReportLag, warmAfter: DefaultWarmAfter}
	for _, opt := range opts {
		opt(e)
	}
	uses := usesOf(a)
	for _, p := range a.Pools {
		for range p.Endpoints {
			e.endpoints = append(e.endpoints, e.standIn(p, uses[p.Name]))
		}
	}
	return e
}

// Endpoints returns the stand-ins in the order of the answers.
func (e *Emulation) Endpoints() []http.Handler { return e.endpoints }

// MakeRandomEngineCold makes an engine that r picks cold without warning.
func (e *Emulation) MakeRandomEngineCold(r *rand.Rand) {
	if len(e.engines) > 0 {
		e.engines[r.IntN(len(e.engines))].MakeCold()
	}
}

func (e *Emulation) standIn(p questionnaire.Pool, u use) http.Handler {
	if p.Kind != nil && *p.Kind == cicadapitch.Engine {
		return e.engine(p, u)
	}
	opts := []ServiceOption{
		WithName(string(p.Name)),
		WithServiceTime(e.scale(u.call)),
		WithServiceReportLag(e.lag),
	}
	if u.books {
		opts = append(opts, WithBookings())
	}
	if p.RecognisesRepeats {
		opts = append(opts, WithDeduplication())
	}
	return NewService(e.clock, opts...)
}

func (e *Emulation) engine(p questionnaire.Pool, u use) *Engine {
	opts := []EngineOption{
		WithTokenTime(e.scale(u.token), e.growth),
		WithSlots(p.WarmSlots),
		WithReportLag(e.lag),
		WithEngineColdStart(p.ColdSlots, e.warmAfter),
	}
	if p.ChecksFencing {
		opts = append(opts, WithFencingCheck())
	}
	engine := NewEngine(e.clock, append(opts, e.more...)...)
	if !e.coldStart {
		engine.MakeWarm()
	}
	e.engines = append(e.engines, engine)
	return engine
}

func (e *Emulation) scale(m cicadapitch.Millis) cicadapitch.Millis {
	if e.speed <= 0 {
		return 0
	}
	return cicadapitch.Millis(float64(m) / e.speed)
}

// use is what the stages of a deployment ask of a pool.
type use struct {
	// call is the service time of a call, token that of a token.
	call  cicadapitch.Millis
	token cicadapitch.Millis
	// books is true where a stage may not be repeated.
	books bool
}

func usesOf(a *questionnaire.Answers) map[cicadapitch.PoolID]use {
	uses := make(map[cicadapitch.PoolID]use)
	for _, app := range a.Applications {
		for _, p := range app.Pipelines {
			for _, s := range p.Stages {
				uses[s.Pool] = uses[s.Pool].with(s)
			}
		}
	}
	return uses
}

func (u use) with(s questionnaire.Stage) use {
	u.call = shorter(u.call, s.ExpectedMillis)
	if s.MaxTokens > 0 {
		u.token = shorter(u.token, s.ExpectedMillis/cicadapitch.Millis(s.MaxTokens))
	}
	u.books = u.books || s.NeverRepeat != nil && *s.NeverRepeat
	return u
}

// shorter returns the shorter span, where 0 is none.
func shorter(a, b cicadapitch.Millis) cicadapitch.Millis {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
