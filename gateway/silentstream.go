package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

// startSilenceTimer starts a timer that cancels the attempt at e with errSilent if the engine
// does not begin to answer within the silence timeout and another engine can take the stream. If
// none can, the attempt goes on and the timer starts again. Once the answer has begun, replacement
// watches the engine.
func (p *proxiedRequest) startSilenceTimer(ctx context.Context, cancel context.CancelCauseFunc, e fleet.Endpoint) *time.Timer {
	if !p.route.Resumable || p.attempts+1 >= p.route.MaxAttempts {
		// A timer without a function: no other attempt can resume the stream.
		return time.NewTimer(p.remaining().Duration() + time.Hour)
	}
	r := streamRetry{exclude: maps.Clone(p.exclude), resumed: p.origin != nil, silent: e}
	r.exclude[e.ID] = true
	var timer *time.Timer
	timer = time.AfterFunc(time.Hour, func() {
		switch {
		case ctx.Err() != nil:
		case p.reserveStreamRetry(r):
			cancel(errSilent)
		default:
			timer.Reset(minSilenceTimeout.Duration())
		}
	})
	timer.Reset(p.silenceTimeout(false).Duration())
	return timer
}

// streamRetry is an attempt that may follow one at a silent engine.
type streamRetry struct {
	exclude map[cicadapitch.EndpointID]bool
	// resumed is true if the stream had begun before the attempt at the silent engine.
	resumed bool
	silent  fleet.Endpoint
}

// reserveStreamRetry reports whether another engine can go on with the stream now, before the host
// stops, and if so takes the retry from the budget.
func (p *proxiedRequest) reserveStreamRetry(r streamRetry) bool {
	g := p.g
	now := g.clock.Now()
	if !g.stop.Load().admits(now, p.need(now)) {
		return false
	}
	list := g.membership.View().Endpoints(p.service.Name)
	// A stream that has begun goes on at the version of its software only.
	if r.resumed || requestState(p.state.Load()) == stateAnswering {
		list = lo.Filter(list, func(e fleet.Endpoint, _ int) bool { return e.Version == r.silent.Version })
	}
	criteria := p.criteria("")
	criteria.Exclude = r.exclude
	hosts := g.hostCount()
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.choose(now, list, criteria); !ok || !g.retryBudget(p.service.Name).AllowRetry(now, hosts) {
		return false
	}
	p.retryReserved.Store(true)
	g.log.Info().Str("Id", string(p.request.ID)).Str("Endpoint", string(r.silent.ID)).Msg("endpoint is silent")
	return true
}
