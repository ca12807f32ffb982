package gateway

import (
	"context"
	"errors"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/membership"
)

const (
	// defaultFirstEventMillis is the expected time to the first event before any
	// was measured.
	defaultFirstEventMillis = 200.0
	// firstEventSmoothing is the weight of the newest measurement in the moving
	// average.
	firstEventSmoothing = 0.1
	// streamBufferBytes is the size of the buffer for reading a stream.
	streamBufferBytes = 8 << 10
	// maxEventBytes limits one event of a stream. Hundreds of requests at once may each hold as much.
	maxEventBytes = 64 << 10
	// minSilenceTimeout is the lower limit of the silence timeout.
	minSilenceTimeout = soundSilence
	// silenceFirstEventFactor multiplies the expected time to the first event to give
	// the silence timeout before the first event.
	silenceFirstEventFactor cicadapitch.Millis = 5
	// silenceGapFactor multiplies the route's longest pause between events to give the
	// silence timeout after the first event.
	silenceGapFactor cicadapitch.Millis = 4
	// maxStageReruns limits the reruns after a lost stage result that do not count as
	// an attempt.
	maxStageReruns = 1
)

// generate runs the stages of the request, sends it to a model engine, or to a plain
// service that streams, and relays the stream. It retries at other endpoints where the
// request allows that. Before each attempt it runs the stages again, since their results
// have been freed.
func (p *proxiedRequest) generate(ctx context.Context) error {
	if err := p.rejectQuarantined(); err != nil {
		return err
	}
	if err := p.g.membership.AwaitKnowledge(ctx); err != nil {
		return err
	}
	if err := p.findOrigin(ctx); err != nil {
		return err
	}
	p.awaitVersion(ctx)
	// Peek: no call is counted as running at the likely engine.
	likelyEngine, err := p.chooseEndpoint(true, "")
	if err != nil {
		return err
	}
	var events eventSplitter
	for reruns, connectFailures := 0, 0; ; {
		p.awaitAttempt()
		inputs, err := p.runStages(ctx, likelyEngine.Zone)
		if errors.Is(err, errInputLost) && reruns < maxStageReruns && ctx.Err() == nil {
			reruns++
			continue
		}
		if err != nil {
			return err
		}
		err = p.generateOnce(ctx, inputs, &events)
		inputs.freeAll()
		switch {
		case err == nil || ctx.Err() != nil || errors.Is(err, errStopping) || errors.Is(err, membership.ErrKnowledgeOld) || errors.Is(err, errNotRelayed) || errors.Is(err, errQuarantined) || errors.Is(err, errSuspected):
			return err
		case !p.hasCandidate():
			return err
		case errors.Is(err, errInputLost) && reruns < maxStageReruns:
			reruns++
			p.attempts--
		case cicadapitch.KindOf(err) == cicadapitch.NotRun && p.attempts == 0 && connectFailures < maxConnectFailures:
			// No endpoint has received the request.
			connectFailures++
		case !p.takeRetry():
			return err
		}
	}
}

// generateOnce makes one attempt at an engine, and chooses again while the chosen one has
// left before the request was sent. While the engine is silent, another one may go on.
func (p *proxiedRequest) generateOnce(ctx context.Context, inputs engineInputs, events *eventSplitter) error {
	for {
		e, err := p.waitForEndpoint(ctx, inputs.zone)
		if err != nil {
			return err
		}
		a, err := p.sendToEngine(ctx, e, inputs, events)
		for err == nil && a != nil {
			a, err = p.relayEngine(ctx, a, events)
		}
		if !errors.Is(err, errChoiceOutdated) || ctx.Err() != nil {
			return err
		}
	}
}

// checkEndpoint starts a check whether the endpoint at which the answer broke off has
// ended, unless the attempt was canceled.
func (p *proxiedRequest) checkEndpoint(ctx context.Context, e fleet.Endpoint, sentAt cicadapitch.Instant) {
	if ctx.Err() != nil {
		return
	}
	p.endCheck = p.g.checkEnd(e, brokenRun{p.keys, sentAt, p.g.clock.Now()})
}

// silenceTimeout returns how long an engine may send nothing before another engine
// resumes the stream. begun is true after the first event. For the last attempt, whose
// timer has no effect, silenceTimeout returns a minute.
func (p *proxiedRequest) silenceTimeout(begun bool) cicadapitch.Millis {
	if p.attempts >= p.route.MaxAttempts {
		return cicadapitch.Minute
	}
	if begun {
		return max(silenceGapFactor*p.route.TargetGap, minSilenceTimeout)
	}
	return max(silenceFirstEventFactor*p.expectedFirstEvent(), minSilenceTimeout)
}

// recordFirstEvent adds a measured time to the first event to the route's moving
// average.
func (p *proxiedRequest) recordFirstEvent(took cicadapitch.Millis) {
	g := p.g
	g.metrics.Tagged(map[string]string{"Route": p.route.Name}).Histogram("FirstEvent", latencyBuckets).RecordDuration(took.Duration())
	g.mu.Lock()
	defer g.mu.Unlock()
	old, ok := g.firstEventMillis[p.route.Name]
	if !ok {
		old = defaultFirstEventMillis
	}
	g.firstEventMillis[p.route.Name] = old + firstEventSmoothing*(float64(took)-old)
}

// expectedFirstEvent returns the route's average time to the first event.
func (p *proxiedRequest) expectedFirstEvent() cicadapitch.Millis {
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	if v, ok := p.g.firstEventMillis[p.route.Name]; ok {
		return cicadapitch.Millis(v)
	}
	return cicadapitch.Millis(defaultFirstEventMillis)
}

// relayChunk writes and flushes a part of the stream. Its error wraps errNotRelayed.
func (p *proxiedRequest) relayChunk(b []byte) error {
	_, err := p.answer.Write(b)
	if err == nil {
		err = p.answer.Flush()
	}
	if err != nil {
		return notRelayed(err)
	}
	return nil
}

// errEventTooLong means that an event of a stream exceeds maxEventBytes.
var errEventTooLong = errors.New("an event is too long")
