package standin

import (
	"math/rand/v2"
	"net/http"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/questionnaire"
)

// Default options of an Emulation.
const (
	// DefaultBatchGrowth is the fraction by which the service time of a token grows
	// for each other request that runs on the engine.
	DefaultBatchGrowth = 0.03
	// DefaultLoadReportLag is the age of the load that a load report shows.
	DefaultLoadReportLag cicadapitch.Millis = 500
	// DefaultWarmAfter is the number of completions that end a cold start.
	DefaultWarmAfter = 4
)

// Emulation emulates every endpoint of a deployment. The service time of a call
// to a plain service is the shortest expected time among the stages that use its
// pool. The service time of a token is the shortest expected time per token,
// which is that of a stage divided by its maximum number of tokens.
type Emulation struct {
	clock         cicadapitch.Clock
	speed         float64
	batchGrowth   float64
	reportLag     cicadapitch.Millis
	warmAfter     int
	coldStart     bool
	engineOptions []EngineOption
	endpoints     []http.Handler
	engines       []*Engine
}

// EmulationOption sets an option of an Emulation.
type EmulationOption func(*Emulation)

// WithSpeed divides all service times by factor. A factor of 0 sets all service
// times to 0.
func WithSpeed(factor float64) EmulationOption {
	return func(e *Emulation) { e.speed = factor }
}

// WithBatchGrowth sets the fraction by which the service time of a token grows for
// each other request that runs on the engine.
func WithBatchGrowth(batchGrowth float64) EmulationOption {
	return func(e *Emulation) { e.batchGrowth = batchGrowth }
}

// WithLoadReportLag sets the age of the load that a load report shows.
func WithLoadReportLag(m cicadapitch.Millis) EmulationOption {
	return func(e *Emulation) { e.reportLag = m }
}

// WithColdStart makes every engine begin in a cold start.
func WithColdStart() EmulationOption {
	return func(e *Emulation) { e.coldStart = true }
}

// WithEngineOptions adds options that apply to every engine.
func WithEngineOptions(opts ...EngineOption) EmulationOption {
	return func(e *Emulation) { e.engineOptions = append(e.engineOptions, opts...) }
}

// NewEmulation returns an Emulation of all endpoints in the answers.
func NewEmulation(clock cicadapitch.Clock, a *questionnaire.Answers, opts ...EmulationOption) *Emulation {
	e := &Emulation{clock: clock, speed: 1, batchGrowth: DefaultBatchGrowth, reportLag: DefaultLoadReportLag, warmAfter: DefaultWarmAfter}
	for _, opt := range opts {
		opt(e)
	}
	profiles := poolProfiles(a)
	for _, p := range a.Pools {
		for range p.Endpoints {
			e.endpoints = append(e.endpoints, e.newEndpoint(p, profiles[p.Name]))
		}
	}
	return e
}

// Endpoints returns one handler per endpoint, in the order of the answers.
func (e *Emulation) Endpoints() []http.Handler { return e.endpoints }

// MakeRandomEngineCold puts one engine, picked by r, into a cold start. It does
// nothing if the emulation has no engine.
func (e *Emulation) MakeRandomEngineCold(r *rand.Rand) {
	if len(e.engines) > 0 {
		e.engines[r.IntN(len(e.engines))].MakeCold()
	}
}

// newEndpoint returns the emulated endpoint of a pool.
func (e *Emulation) newEndpoint(p questionnaire.Pool, profile poolProfile) http.Handler {
	if p.Kind != nil && *p.Kind == cicadapitch.Engine {
		return e.newEngine(p, profile)
	}
	opts := []ServiceOption{
		WithName(string(p.Name)),
		WithServiceTime(e.scale(profile.callTime)),
		WithServiceReportLag(e.reportLag),
	}
	if profile.neverRepeated {
		opts = append(opts, WithBookings())
	}
	if p.RecognisesRepeats {
		opts = append(opts, WithDeduplication())
	}
	return NewService(e.clock, opts...)
}

// newEngine returns an engine of pool p, warm unless the emulation starts cold.
func (e *Emulation) newEngine(p questionnaire.Pool, profile poolProfile) *Engine {
	opts := []EngineOption{
		WithTokenTime(e.scale(profile.tokenTime), e.batchGrowth),
		WithSlots(p.WarmSlots),
		WithReportLag(e.reportLag),
		WithEngineColdStart(p.ColdSlots, e.warmAfter),
	}
	if p.ChecksFencing {
		opts = append(opts, WithFencingCheck())
	}
	engine := NewEngine(e.clock, append(opts, e.engineOptions...)...)
	if !e.coldStart {
		engine.MakeWarm()
	}
	e.engines = append(e.engines, engine)
	return engine
}

// scale divides a service time by the speed.
func (e *Emulation) scale(m cicadapitch.Millis) cicadapitch.Millis {
	if e.speed <= 0 {
		return 0
	}
	return cicadapitch.Millis(float64(m) / e.speed)
}

// poolProfile is the behaviour that the stages expect of a pool.
type poolProfile struct {
	// callTime is the service time of a call, tokenTime that of one token.
	callTime  cicadapitch.Millis
	tokenTime cicadapitch.Millis
	// neverRepeated is true if at least one stage must not be repeated.
	neverRepeated bool
}

// poolProfiles returns the profile of each pool that a stage uses.
func poolProfiles(a *questionnaire.Answers) map[cicadapitch.PoolID]poolProfile {
	profiles := make(map[cicadapitch.PoolID]poolProfile)
	for _, app := range a.Applications {
		for _, p := range app.Pipelines {
			for _, s := range p.Stages {
				profiles[s.Pool] = profiles[s.Pool].add(s)
			}
		}
	}
	return profiles
}

// add returns the profile with the expectations of a stage added.
func (p poolProfile) add(s questionnaire.Stage) poolProfile {
	p.callTime = minNonZero(p.callTime, s.ExpectedMillis)
	if s.MaxTokens > 0 {
		p.tokenTime = minNonZero(p.tokenTime, s.ExpectedMillis/cicadapitch.Millis(s.MaxTokens))
	}
	p.neverRepeated = p.neverRepeated || s.NeverRepeat != nil && *s.NeverRepeat
	return p
}

// minNonZero returns the smaller of two durations; 0 counts as not set.
func minNonZero(a, b cicadapitch.Millis) cicadapitch.Millis {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
