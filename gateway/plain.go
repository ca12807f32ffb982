package gateway

import (
	"context"
	"errors"
	"io"
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/memory"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// maxBufferedBytes is the number of bytes of an answer that are read before any
	// is relayed, so that another attempt can replace an answer that breaks off. Hundreds of
	// requests at once may each hold as much.
	maxBufferedBytes = 64 << 10
	// attemptTimeoutFraction is the share of the latency objective after which an
	// attempt of an idempotent request gives way to one at another endpoint. The rest
	// suffices for a typical call there.
	attemptTimeoutFraction = 0.7
)

// servePlain serves a request of a plain service. It retries at other endpoints
// where the request allows that.
func (p *proxiedRequest) servePlain(ctx context.Context) error {
	if err := p.rejectQuarantined(); err != nil {
		return err
	}
	if err := p.g.membership.AwaitKnowledge(ctx); err != nil {
		return err
	}
	var next *plainAttempt
	for connectFailures := 0; ; {
		attempt := next
		if attempt == nil {
			p.awaitAttempt()
			e, err := p.choosePlainEndpoint(ctx)
			if err != nil {
				return err
			}
			if err := p.awaitTrial(ctx); err != nil {
				p.recordCallEnd(e.ID)
				return err
			}
			attempt = p.newPlainAttempt(ctx, e, p.chosenAt)
		}
		p.watch(ctx, attempt)
		done, err := p.attemptPlain(attempt)
		p.end(attempt)
		p.endTrial()
		next = attempt.retry
		if done || errors.Is(err, membership.ErrKnowledgeOld) || errors.Is(err, errStopping) {
			p.release(next)
			return err
		}
		p.exclude[attempt.endpoint.ID] = true
		if next != nil {
			continue
		}
		if errors.Is(err, errChoiceOutdated) && ctx.Err() == nil {
			continue
		}
		if cicadapitch.KindOf(err) == cicadapitch.NotRun && p.attempts == 0 && connectFailures < maxConnectFailures {
			// No endpoint has received the request.
			connectFailures++
			continue
		}
		if ctx.Err() != nil || !p.takeRetry() {
			return err
		}
	}
}

// choosePlainEndpoint chooses an endpoint of a plain service. While all are brittle and full, the
// request waits here, since none may wait there.
func (p *proxiedRequest) choosePlainEndpoint(ctx context.Context) (fleet.Endpoint, error) {
	brittle := slices.ContainsFunc(p.candidates(), func(e fleet.Endpoint) bool {
		_, brittle := p.g.limits.Refusals(e.Endpoint)
		return brittle
	})
	if brittle {
		return p.waitForEndpoint(ctx, "")
	}
	return p.chooseEndpoint(false, "")
}

// attemptPlain sends the request to one endpoint of a plain service, unless its answer has begun
// already. The result is true if the answer to the caller has begun; the error is then that of
// relaying the rest. Otherwise the error says why the attempt failed.
func (p *proxiedRequest) attemptPlain(attempt *plainAttempt) (bool, error) {
	e, ctx, start := attempt.endpoint, attempt.ctx, attempt.startedAt
	defer p.recordCallEnd(e.ID)
	reply := attempt.reply
	if reply == nil {
		var err error
		if reply, err = p.send(ctx, e, nil, ""); err != nil {
			if cicadapitch.KindOf(err) == cicadapitch.OutcomeUnknown {
				p.checkPlainEndpoint(ctx, e, start)
			}
			return false, err
		}
	} else {
		p.attempts++
		p.mayHaveRun = true
	}
	defer reply.Close()
	body, err := p.readBuffered(reply)
	defer body.Release()
	if err != nil {
		p.recordBreak(ctx, e.ID)
		p.checkPlainEndpoint(ctx, e, start)
		return false, cicadapitch.NewOutcomeUnknown("the answer of " + string(e.ID) + " broke off: " + err.Error())
	}
	if !attempt.keep() && body.More {
		return false, errSilent
	}
	p.recordAnswer()
	p.recordForRollout(e.ID, reply.Status)
	if reply.Status >= 500 && p.route.Idempotent() && p.attempts < p.route.MaxAttempts {
		p.recordFailure(e.ID, 0)
		return false, cicadapitch.NewOutcomeUnknown(string(e.ID) + " failed")
	}
	if reply.Status < 500 {
		p.recordSuccess(e.ID, p.g.clock.Now().Sub(start))
	}
	return true, p.relayWhole(reply, body)
}

// checkPlainEndpoint starts a check like checkEndpoint. A further attempt waits for it only
// if this one was a trial.
func (p *proxiedRequest) checkPlainEndpoint(ctx context.Context, e fleet.Endpoint, sentAt cicadapitch.Instant) {
	p.checkEndpoint(ctx, e, sentAt)
	if p.trial == "" {
		p.endCheck = nil
	}
}

// readBuffered reads up to maxBufferedBytes bytes of a body, or less if the host's memory is short.
func (p *proxiedRequest) readBuffered(reply *platform.Reply) (*platform.Buffer, error) {
	return p.answer.Hold().ReadBuffer(reply, reply.Length, maxBufferedBytes, memory.Optional)
}

// relayWhole relays an answer that only its endpoint can complete. body is the part that readBuffered has
// read.
func (p *proxiedRequest) relayWhole(reply *platform.Reply, body *platform.Buffer) error {
	if err := p.answer.WriteHeader(reply); err != nil {
		return err
	}
	p.beginAnswer(reply.Status)
	p.releaseBody(reply)
	if _, err := p.answer.Write(body.Bytes); err != nil {
		return notRelayed(err)
	}
	more := body.More
	body.Release()
	if !more {
		return nil
	}
	size := cicadapitch.Bytes(copyBufferBytes)
	if p.answer.Hold().Reserve(size, memory.Optional) {
		defer p.answer.Hold().Release(size)
	} else {
		size = minCopyBufferBytes
	}
	_, err := io.CopyBuffer(p.answer, reply, make([]byte, size))
	return err
}

const (
	// copyBufferBytes is the size of the buffer for the part of an answer that follows the first, and
	// minCopyBufferBytes that without memory for it, which each request has reserved.
	copyBufferBytes    = 32 << 10
	minCopyBufferBytes = 8 << 10
)

// releaseBody gives back the memory of the request's body if no endpoint needs it any more.
func (p *proxiedRequest) releaseBody(reply *platform.Reply) {
	if len(p.request.Body) > 0 && !p.answer.Extensible() && reply.Written() {
		p.request.Body = nil
		p.answer.Hold().ReleaseBody()
	}
}
