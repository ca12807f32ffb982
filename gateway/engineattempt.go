package gateway

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/memory"
	"cicadapitch.example/cicadapitch/platform"
)

// engineAttempt is an attempt at an engine that has begun to answer.
type engineAttempt struct {
	endpoint fleet.Endpoint
	inputs   engineInputs
	reply    *platform.Reply
	// resumeAfter is the id of the event after which the stream goes on, or empty.
	resumeAfter string
	sentAt      cicadapitch.Instant
	// ctx ends with the attempt, which cancel ends.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// sendToEngine sends the request to an engine whose call is counted as running. The stream resumes
// after events.lastID if set, else after the event id that the caller sent. The caller passes the
// attempt to relayEngine.
func (p *proxiedRequest) sendToEngine(ctx context.Context, e fleet.Endpoint, inputs engineInputs, events *eventSplitter) (*engineAttempt, error) {
	if err := p.awaitTrial(ctx); err != nil {
		p.recordCallEnd(e.ID)
		return nil, err
	}
	a := &engineAttempt{endpoint: e, inputs: inputs, sentAt: p.g.clock.Now(), resumeAfter: p.request.ResumeAfter}
	if events.lastID != "" {
		a.resumeAfter = events.lastID
	}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	p.exclude[e.ID] = true
	stopWatching, stopMarking := p.watchSilence(a.ctx, a.cancel, e), p.markInputsFetched(e, inputs)
	var err error
	a.reply, err = p.send(a.ctx, e, inputs.handles, a.resumeAfter)
	stopWatching()
	stopMarking()
	if err == nil {
		return a, nil
	}
	if errors.Is(err, errInputLost) {
		delete(p.exclude, e.ID)
	}
	if cicadapitch.KindOf(err) == cicadapitch.OutcomeUnknown {
		p.checkEndpoint(a.ctx, e, a.sentAt)
	}
	a.cancel(nil)
	p.endTrial()
	p.recordCallEnd(e.ID)
	return nil, err
}

const (
	// maxFetchingShare is the share of an engine's slots up to which it admits a request at once, and so
	// fetches its inputs.
	maxFetchingShare = 0.5
	// engineFetchTime is the time after which such an engine is assumed to have fetched them.
	engineFetchTime cicadapitch.Millis = 30
)

// markInputsFetched marks the inputs as fetched engineFetchTime from now if the request was sent by then to an
// engine that admits it at once: results that wait for its first event would keep the next calls from
// their memory. The returned function ends that.
func (p *proxiedRequest) markInputsFetched(e fleet.Endpoint, inputs engineInputs) func() {
	if len(inputs.handles) == 0 || !p.admitsAtOnce(e) {
		return func() {}
	}
	t := time.AfterFunc(engineFetchTime.Duration(), func() {
		if requestState(p.state.Load()) != stateWaiting {
			inputs.markFetched()
		}
	})
	return func() { t.Stop() }
}

// admitsAtOnce reports whether an engine has free slots, as far as is known.
func (p *proxiedRequest) admitsAtOnce(e fleet.Endpoint) bool {
	others := p.g.membership.Loads()[e.ID]
	p.g.mu.Lock()
	defer p.g.mu.Unlock()
	return float64(others+p.g.chooser.Health(e.ID).Running) <= maxFetchingShare*float64(e.Slots)
}

// relayEngine relays the answer of an attempt and ends the attempt. If its engine has fallen silent
// and another one goes on with the stream, relayEngine returns the attempt there.
func (p *proxiedRequest) relayEngine(ctx context.Context, a *engineAttempt, events *eventSplitter) (next *engineAttempt, err error) {
	defer p.recordCallEnd(a.endpoint.ID)
	defer func() {
		if next == nil { // else the trial is that of the next attempt
			p.endTrial()
		}
	}()
	defer a.inputs.freeAll()
	defer a.cancel(nil)
	defer a.reply.Close()
	onFirstEvent := func() {
		took := p.g.clock.Now().Sub(a.sentAt)
		p.recordSuccess(a.endpoint.ID, took)
		p.recordForRollout(a.endpoint.ID, a.reply.Status)
		p.recordFirstEvent(took)
		if a.reply.Status < 300 {
			p.recordPrefilled(a.endpoint.ID, took)
		}
		// The engine has fetched its inputs once it sends the first event.
		a.inputs.freeAll()
	}
	reply := a.reply
	if p.answer.HeaderWritten() && reply.Status >= 300 || reply.Status < 300 && p.route.Resumable && a.resumeAfter != "" && !reply.IsStream() {
		p.recordBreak(a.ctx, a.endpoint.ID)
		return nil, cicadapitch.NewOutcomeUnknown(string(a.endpoint.ID) + " did not go on with the stream: status " + strconv.Itoa(reply.Status) + ", type " + reply.ContentType())
	}
	if reply.IsStream() {
		events.startPart(a.resumeAfter)
		next, err = p.relayEvents(ctx, a, events, func() {
			onFirstEvent()
			if p.route.Resumable {
				p.recordOrigin(a.endpoint)
			}
		})
	} else {
		err = p.relayNoStream(a, onFirstEvent)
	}
	if err == nil && next == nil {
		p.recordOutput(events.count)
	}
	if err != nil && !errors.Is(err, errNotRelayed) {
		p.recordBreak(a.ctx, a.endpoint.ID)
		p.checkEndpoint(a.ctx, a.endpoint, a.sentAt)
	}
	return next, err
}

// relayNoStream relays an answer that is no stream of events. It reads the first part of the body before
// it writes anything, so that another engine can take the place of one whose answer breaks off there.
func (p *proxiedRequest) relayNoStream(a *engineAttempt, onBegin func()) error {
	body, err := p.readBuffered(a.reply)
	defer body.Release()
	if err != nil {
		return cicadapitch.NewOutcomeUnknown("the answer of " + string(a.endpoint.ID) + " broke off: " + err.Error())
	}
	onBegin()
	if a.reply.Status < 300 {
		p.recordAnswer()
	}
	return p.relayWhole(a.reply, body)
}

// relayEvents relays a stream to the caller in complete events only, so that
// another engine can resume it after the last of them. It returns an OutcomeUnknown error if the
// stream breaks off, and one that wraps errNotRelayed if the caller cannot get it. If another engine
// goes on while this one is silent, relayEvents returns the attempt there.
func (p *proxiedRequest) relayEvents(ctx context.Context, a *engineAttempt, events *eventSplitter, onFirstEvent func()) (*engineAttempt, error) {
	reads := startStreamReader(a.reply)
	defer reads.stop(a.reply.Abort)
	r := p.newReplacement(a)
	defer r.stop()
	proof := p.newAnswerProof(a.reply)
	for begun := false; ; {
		select {
		case <-r.silence.C:
			r.prepare(ctx)
			continue
		case prepared := <-r.prepared:
			if next, err := r.takeOver(ctx, prepared, events); next != nil || err != nil {
				return next, err
			}
			continue
		case read := <-reads.results:
			reads.ended = read.err != nil
			r.heard()
			complete, spoilt := p.completeEvents(a.endpoint, read, events)
			if len(complete) > 0 || spoilt == nil && read.err == io.EOF {
				if !begun {
					begun = true
					onFirstEvent()
					if err := p.beginPart(a.reply); err != nil {
						return nil, err
					}
				}
				if err := p.relayChunk(complete); err != nil {
					return nil, err
				}
			}
			if spoilt == nil {
				spoilt = p.holdPartial(cap(events.partial))
			}
			if spoilt != nil {
				return nil, spoilt
			}
			proof.add(len(read.b), read.err)
			if done, err := p.checkStreamEnd(a.endpoint, read.err, events); done {
				return nil, err
			}
		}
	}
}

// completeEvents returns the events that are complete with a read, up to the first that does not go on
// with the stream. The error says that there is such an event, or that the stream ends without one.
func (p *proxiedRequest) completeEvents(e fleet.Endpoint, read streamRead, events *eventSplitter) ([]byte, error) {
	complete, err := events.add(read.b)
	if err == nil && read.err == io.EOF && p.answer.HeaderWritten() {
		err = events.end()
	}
	if err != nil {
		return complete, cicadapitch.NewOutcomeUnknown(string(e.ID) + " did not go on with the stream: " + err.Error())
	}
	return complete, nil
}

// holdPartial reserves the memory of an incomplete event of n bytes. Its error wraps errNotRelayed.
func (p *proxiedRequest) holdPartial(n int) error {
	need := cicadapitch.Bytes(n)
	if need <= streamBufferBytes {
		need = 0 // part of what each request reserves
	}
	if need > p.heldPartial && !p.answer.Hold().Reserve(need-p.heldPartial, memory.Required) {
		return notRelayed(platform.ErrNoMemory)
	}
	p.answer.Hold().Release(p.heldPartial - need)
	p.heldPartial = need
	return nil
}

// beginPart begins the answer, or a further part of it.
func (p *proxiedRequest) beginPart(reply *platform.Reply) error {
	begin := p.answer.WriteHeader
	if p.route.Resumable {
		begin = p.answer.WriteResumableHeader
	}
	if err := begin(reply); err != nil {
		return err
	}
	p.beginAnswer(reply.Status)
	p.releaseBody(reply)
	return nil
}

// checkStreamEnd reports whether the stream has ended with the error of a read, and returns that of
// relayEvents.
func (p *proxiedRequest) checkStreamEnd(e fleet.Endpoint, err error, events *eventSplitter) (bool, error) {
	if err == io.EOF {
		return true, nil
	}
	if err == nil && len(events.partial) > maxEventBytes {
		err = errEventTooLong
	}
	if err != nil {
		return true, cicadapitch.NewOutcomeUnknown("the stream of " + string(e.ID) + " broke off: " + err.Error())
	}
	return false, nil
}
