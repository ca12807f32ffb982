package gateway

import (
	"context"
	"maps"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

// watchSilence cancels the attempt at e with errSilent if the engine does not begin to answer within
// the silence timeout and another engine can take the stream. If none can, the attempt goes on and
// the wait starts again. The returned function ends the watch. Once the answer has begun, replacement
// watches the engine.
func (p *proxiedRequest) watchSilence(ctx context.Context, cancel context.CancelCauseFunc, e fleet.Endpoint) func() {
	if !p.route.Resumable || p.attempts+1 >= p.route.MaxAttempts {
		return func() {} // no other attempt can resume the stream
	}
	r := streamRetry{exclude: maps.Clone(p.exclude), resumed: p.origin != nil, silent: e}
	r.exclude[e.ID] = true
	timeout := p.silenceTimeout(false)
	watch, stop := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for ; p.g.clock.Sleep(watch, timeout) == nil; timeout = minSilenceTimeout {
			if p.reserveStreamRetry(r) {
				cancel(errSilent)
				return
			}
		}
	}()
	return func() { stop(); <-watched }
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
	} else {
		list = p.likelyVersions(list)
	}
	criteria := p.criteria("")
	criteria.Exclude = r.exclude
	hosts := g.hostCount()
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, _, ok := g.choose(now, list, criteria); !ok || !g.retryBudget(p.service.Name).AllowRetry(now, hosts) {
		return false
	}
	p.retryReserved.Store(true)
	g.log.Info().Str("Id", string(p.request.ID)).Str("Endpoint", string(r.silent.ID)).Msg("endpoint is silent")
	return true
}
