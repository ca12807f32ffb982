package gateway

import (
	"context"
	"errors"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/quarantine"
)

// maxOverlap bounds the time for which a silent engine keeps a stream that was sent to another
// one, which may refuse it.
const maxOverlap cicadapitch.Millis = 150

// replacement lets another engine go on with a stream whose engine is silent. The silent one keeps
// the stream until the other has taken it, and goes on if none does.
type replacement struct {
	request *proxiedRequest
	attempt *engineAttempt
	// silence fires when the engine has been silent for the silence timeout.
	silence *time.Timer
	// prepared receives the inputs for the other engine. It is nil while none are prepared.
	prepared chan preparedInputs
	// cancel ends the preparation.
	cancel context.CancelFunc
	// recorded is true once the silence was recorded as a failure of the engine.
	recorded bool
}

// preparedInputs are the stage results for another attempt, or the error of a stage.
type preparedInputs struct {
	engineInputs
	err error
}

// newReplacement starts to watch the engine of an attempt.
func (p *proxiedRequest) newReplacement(a *engineAttempt) *replacement {
	return &replacement{request: p, attempt: a, silence: time.NewTimer(p.silenceTimeout(false).Duration())}
}

// heard ends a preparation, since the engine has sent something.
func (r *replacement) heard() {
	r.stop()
	r.silence.Reset(r.request.silenceTimeout(true).Duration())
}

// stop ends a preparation and frees its results.
func (r *replacement) stop() {
	r.silence.Stop()
	if r.prepared == nil {
		return
	}
	r.cancel()
	if inputs := <-r.prepared; inputs.err == nil {
		inputs.freeAll()
	}
	r.prepared = nil
}

// prepare starts to run the stages for another engine if one can take the stream.
func (r *replacement) prepare(ctx context.Context) {
	p := r.request
	r.silence.Reset(p.silenceTimeout(true).Duration())
	if r.prepared != nil || p.attempts >= p.route.MaxAttempts || !p.route.Resumable {
		return
	}
	if !r.recorded {
		r.recorded = true
		p.recordFailure(r.attempt.endpoint.ID, 1)
		p.recordFailureForRollout(r.attempt.endpoint.ID)
	}
	_, state := p.g.quarantine.Check(p.g.clock.Now(), p.keys)
	if p.trial != "" || state != quarantine.Clear || !p.mayRetryElsewhere() {
		return
	}
	prepared := make(chan preparedInputs, 1)
	ctx, r.cancel = context.WithCancel(ctx)
	r.prepared = prepared
	zone := r.attempt.endpoint.Zone
	go func() {
		inputs, err := p.runStages(ctx, zone)
		prepared <- preparedInputs{inputs, err}
	}()
}

// mayRetryElsewhere reports whether there is an endpoint that the request was not sent to, and the
// retry budget and the end of the host allow another attempt.
func (p *proxiedRequest) mayRetryElsewhere() bool {
	now := p.g.clock.Now()
	if !p.hasCandidate() || !p.g.stop.Load().admits(now, p.need(now)) {
		return false
	}
	hosts := p.g.hostCount()
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	return p.g.retryBudget(p.service.Name).AllowsRetry(now, hosts)
}

// takeOver sends the stream to another engine. It returns nil if the silent engine keeps the
// stream, since a stage failed or no engine has taken it.
func (r *replacement) takeOver(ctx context.Context, prepared preparedInputs, events *eventSplitter) (*engineAttempt, error) {
	p, a := r.request, r.attempt
	r.prepared = nil
	r.cancel()
	if prepared.err != nil {
		r.logKept(prepared.err)
		return nil, nil
	}
	e, err := p.chooseEndpoint(false, prepared.zone)
	if err == nil && !p.takeRetry() {
		p.recordCallEnd(e.ID)
		err = errNoRetry
	}
	if err != nil {
		prepared.freeAll()
		r.logKept(err)
		return nil, nil
	}
	overlap := time.AfterFunc(maxOverlap.Duration(), func() { a.cancel(errSilent) })
	next, err := p.sendToEngine(ctx, e, prepared.engineInputs, events)
	kept := overlap.Stop()
	if err == nil {
		a.cancel(errSilent)
		return next, nil
	}
	prepared.freeAll()
	if notRun := cicadapitch.KindOf(err) == cicadapitch.NotRun || errors.Is(err, errInputLost); kept && notRun {
		if p.answer.HeaderWritten() {
			p.setState(stateAnswering)
		}
		r.logKept(err)
		return nil, nil
	}
	a.cancel(errSilent)
	if errors.Is(err, errChoiceOutdated) {
		err = cicadapitch.NewNotRun(err.Error(), fullRetryAfter)
	}
	return nil, err
}

// errNoRetry means that the retry budget does not allow another attempt.
var errNoRetry = cicadapitch.NewNotRun("the retry budget is spent", fullRetryAfter)

// logKept logs that a silent engine keeps its stream.
func (r *replacement) logKept(err error) {
	p := r.request
	p.g.log.Info().Str("Id", string(p.request.ID)).Str("Endpoint", string(r.attempt.endpoint.ID)).Err(err).Msg("silent endpoint keeps the stream")
	p.g.metrics.Counter("SilentStreamsKept").Inc(1)
}
