package gateway

import (
	"context"
	"maps"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

// silentAttempt watches an attempt at a plain service. If its endpoint is silent for long and
// another one can take the request, it ends the attempt with the cause errSilent.
type silentAttempt struct {
	// ctx is the context of the attempt.
	ctx       context.Context
	endedWith context.CancelCauseFunc
	// stopWatching ends the watch and keeps the attempt, watched is closed after that.
	stopWatching context.CancelFunc
	watched      chan struct{}
	// retry is the endpoint of the next attempt once this one has been ended.
	retry *reservedRetry
}

// reservedRetry is an endpoint at which a call is counted as running, and which the budget for
// retries allows.
type reservedRetry struct {
	endpoint fleet.Endpoint
	chosenAt cicadapitch.Instant
}

// watchAttempt starts to watch an attempt at e if another one may follow.
func (p *proxiedRequest) watchAttempt(ctx context.Context, e fleet.Endpoint) *silentAttempt {
	a := &silentAttempt{watched: make(chan struct{})}
	a.ctx, a.endedWith = context.WithCancelCause(ctx)
	watch, stop := context.WithCancel(a.ctx)
	a.stopWatching = stop
	if !p.route.Idempotent() || p.attempts+1 >= p.route.MaxAttempts || p.route.TargetLatency <= 0 {
		close(a.watched)
		return a
	}
	timeout := cicadapitch.Millis(attemptTimeoutFraction * float64(p.route.TargetLatency))
	exclude := maps.Clone(p.exclude)
	exclude[e.ID] = true
	chosenAt := p.chosenAt
	go func() {
		defer close(a.watched)
		for p.g.clock.Sleep(watch, timeout) == nil {
			if a.retry = p.reserveRetry(exclude); a.retry != nil {
				p.g.log.Info().Str("Id", string(p.request.ID)).Str("Endpoint", string(e.ID)).Int64("SinceChoiceMs", int64(p.g.clock.Now().Sub(chosenAt))).
					Str("Retry", string(a.retry.endpoint.ID)).Msg("endpoint is silent")
				a.endedWith(errSilent)
				return
			}
		}
	}()
	return a
}

// keep ends the watch, and reports whether the attempt goes on.
func (a *silentAttempt) keep() bool {
	a.stopWatching()
	<-a.watched
	return a.retry == nil
}

// end ends the watch and the attempt.
func (a *silentAttempt) end() {
	a.keep()
	a.endedWith(nil)
}

// reserveRetry chooses an endpoint for a retry, counts the call as running there and takes the
// retry from the budget. It returns nil if there is no such endpoint or the budget or the end of
// the host does not allow the retry.
func (p *proxiedRequest) reserveRetry(exclude map[cicadapitch.EndpointID]bool) *reservedRetry {
	g := p.g
	if now := g.clock.Now(); !g.stop.Load().admits(now, p.need(now)) {
		return nil
	}
	criteria := p.criteria("")
	criteria.Exclude = exclude
	list, hosts := p.candidates(), g.hostCount()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	e, ok := g.chooser.ChoosePlain(now, list, criteria)
	if !ok || !g.retryBudget(p.service.Name).AllowRetry(now, hosts) {
		return nil
	}
	g.chooser.RecordStart(e.ID)
	return &reservedRetry{e, now}
}

// releaseRetry gives a reserved endpoint back that gets no call.
func (p *proxiedRequest) releaseRetry(r *reservedRetry) {
	if r != nil {
		p.recordCallEnd(r.endpoint.ID)
	}
}
