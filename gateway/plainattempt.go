package gateway

import (
	"context"
	"maps"
	"net/http"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/quarantine"
)

// plainAttempt is an attempt at an endpoint of a plain service. If the endpoint is silent for long,
// the request is sent to another one too. The first of them that answers serves the request.
type plainAttempt struct {
	endpoint            fleet.Endpoint
	startedAt, chosenAt cicadapitch.Instant
	// ctx is the context of the attempt.
	ctx       context.Context
	endedWith context.CancelCauseFunc
	// reserved is the choice of the version of an attempt that follows a silent one, or nil.
	reserved *reservation
	// reply is the head of the answer if it has come already.
	reply *platform.Reply

	// stopWatching ends the watch, cancelRetry the call that it has made. watched is closed once
	// both have ended; the fields below may be read from then on.
	stopWatching, cancelRetry context.CancelFunc
	watched                   chan struct{}
	// retry is the attempt that has begun to answer in the place of this one, or nil.
	retry *plainAttempt
	// tried holds the other endpoints to which the request was sent in vain, mayHaveRun is true if
	// one of them may have run it.
	tried      []cicadapitch.EndpointID
	mayHaveRun bool
}

// newPlainAttempt returns an attempt at an endpoint whose call is counted as running.
func (p *proxiedRequest) newPlainAttempt(ctx context.Context, e fleet.Endpoint, chosenAt cicadapitch.Instant) *plainAttempt {
	a := &plainAttempt{endpoint: e, startedAt: p.g.clock.Now(), chosenAt: chosenAt, watched: make(chan struct{})}
	a.ctx, a.endedWith = context.WithCancelCause(ctx)
	return a
}

// watch starts to watch the attempt if another one may follow.
func (p *proxiedRequest) watch(ctx context.Context, a *plainAttempt) {
	var sleep, retry context.Context
	sleep, a.stopWatching = context.WithCancel(a.ctx)
	retry, a.cancelRetry = context.WithCancel(ctx)
	if !p.route.Idempotent() || p.route.TargetLatency <= 0 {
		close(a.watched)
		return
	}
	exclude, sent, trial := maps.Clone(p.exclude), p.attempts, p.trial
	exclude[a.endpoint.ID] = true
	timeout := cicadapitch.Millis(attemptTimeoutFraction * float64(p.route.TargetLatency))
	go func() {
		defer close(a.watched)
		for sent+1+len(a.tried) < p.route.MaxAttempts && p.g.clock.Sleep(sleep, timeout) == nil {
			if trial != "" {
				continue // one run of a suspected request at a time
			}
			next := p.reserveRetry(ctx, exclude)
			if next == nil {
				continue
			}
			exclude[next.endpoint.ID] = true
			p.g.log.Info().Str("Id", string(p.request.ID)).Str("Endpoint", string(a.endpoint.ID)).Int64("SinceChoiceMs", int64(p.g.clock.Now().Sub(a.chosenAt))).
				Str("Retry", string(next.endpoint.ID)).Msg("endpoint is silent")
			if p.sendRetry(retry, a, next) {
				a.retry = next
				a.endedWith(errSilent)
				return
			}
		}
	}()
}

// reserveRetry chooses an endpoint for a retry, counts the call as running there and takes the
// retry from the budget. It returns nil if there is no such endpoint or the budget, the quarantine or the
// end of the host does not allow the retry.
func (p *proxiedRequest) reserveRetry(ctx context.Context, exclude map[cicadapitch.EndpointID]bool) *plainAttempt {
	g := p.g
	now := g.clock.Now()
	if _, state := g.quarantine.Check(now, p.keys); state != quarantine.Clear || !g.stop.Load().admits(now, p.need(now)) {
		return nil
	}
	criteria := p.criteria("")
	criteria.Exclude = exclude
	list, reserved := p.retryVersions(p.ofListedVersions(), exclude)
	hosts := g.hostCount()
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.chooser.ChoosePlain(now, list, criteria)
	if !ok || !g.retryBudget(p.service.Name).AllowRetry(now, hosts) {
		reserved.release()
		return nil
	}
	g.chooser.RecordStart(e.ID)
	a := p.newPlainAttempt(ctx, e, now)
	a.reserved = reserved
	return a
}

// sendRetry sends the request to the endpoint of next, while a waits for its own. It reports whether
// that endpoint has begun a successful answer. retry cancels the call until then.
func (p *proxiedRequest) sendRetry(retry context.Context, a, next *plainAttempt) bool {
	stop := context.AfterFunc(retry, func() { next.endedWith(nil) })
	reply, err := p.g.endpoints.Send(next.ctx, p.newCall(next.endpoint, nil, "", p.commitRetry))
	p.logSent(next.endpoint, next.startedAt.Sub(next.chosenAt), 0, "", reply, err)
	next.recordArrival(p.g.clock.Now(), err)
	canceled := !stop()
	if err == nil && !canceled && !reply.NotRun && reply.Signed && reply.Status < http.StatusInternalServerError {
		next.reply = reply
		return true
	}
	if !canceled {
		p.recordRetryFailure(a, next, reply, err)
	}
	if reply != nil {
		reply.Discard()
		reply.Close()
	}
	next.endedWith(nil)
	p.recordCallEnd(next.endpoint.ID)
	return false
}

// recordRetryFailure records that the request was sent to the endpoint of next in vain. The attempt a
// goes on.
func (p *proxiedRequest) recordRetryFailure(a, next *plainAttempt, reply *platform.Reply, err error) {
	e := next.endpoint
	switch {
	case err != nil && cicadapitch.KindOf(err) != cicadapitch.OutcomeUnknown:
		return // nothing was sent
	case reply != nil && reply.NotRun:
		p.recordFailure(e.ID, 0)
		p.recordRefusal(e, reply)
	default:
		p.recordFailure(e.ID, 1)
		p.recordFailureForRollout(e.ID)
		a.mayHaveRun = true
		if err != nil {
			p.g.checkEnd(e, brokenRun{p.keys, next.startedAt, p.g.clock.Now()})
		}
	}
	a.tried = append(a.tried, e.ID)
}

// keep ends the watch, since the endpoint has answered, and reports whether the attempt goes on.
func (a *plainAttempt) keep() bool {
	a.stopWatching()
	a.cancelRetry()
	<-a.watched
	return a.retry == nil
}

// end ends the attempt. If the request was also sent to another endpoint, it waits for the head of the
// answer there.
func (p *proxiedRequest) end(a *plainAttempt) {
	a.stopWatching()
	<-a.watched
	a.cancelRetry()
	a.endedWith(nil)
	p.attempts += len(a.tried)
	p.mayHaveRun = p.mayHaveRun || a.mayHaveRun
	for _, id := range a.tried {
		p.exclude[id] = true
	}
}

// release ends an attempt that has begun to answer and isn't used.
func (p *proxiedRequest) release(a *plainAttempt) {
	if a == nil {
		return
	}
	a.reply.Abort()
	a.reply.Close()
	a.endedWith(nil)
	p.recordCallEnd(a.endpoint.ID)
}

// recordArrival records whether the endpoint has got the request, by the error of the call.
func (a *plainAttempt) recordArrival(now cicadapitch.Instant, err error) {
	switch {
	case a.reserved == nil:
	case err == nil || cicadapitch.KindOf(err) != cicadapitch.NotRun:
		a.reserved.recordSent(now, a.endpoint.ID)
	default:
		a.reserved.release()
	}
	a.reserved = nil
}
