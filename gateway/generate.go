package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// defaultFirstEventMillis is the expected time to the first event before any
	// was measured.
	defaultFirstEventMillis = 200.0
	// firstEventSmoothing is the weight of the newest measurement in the moving
	// average.
	firstEventSmoothing = 0.1
	// streamBufferBytes has room for several events.
	streamBufferBytes = 8 << 10
	// maxEventBytes limits one event of a resumable stream.
	maxEventBytes = 1 << 20
	// minSilenceTimeout is the lower limit of the silence timeout.
	// silenceFirstEventFactor and silenceGapFactor multiply the expected time to
	// the first event and the route's longest pause between events.
	minSilenceTimeout       cicadapitch.Millis = 1000
	silenceFirstEventFactor cicadapitch.Millis = 5
	silenceGapFactor        cicadapitch.Millis = 4
	// maxStageReruns limits how often the stages run again because their results
	// were lost.
	maxStageReruns = 1
)

// generate runs the stages of the request, sends it to a model engine and relays
// the stream. It retries at other engines where the request allows that.
func (t *task) generate(ctx context.Context) error {
	likelyEngine, err := t.chooseEndpoint(true, "")
	if err != nil {
		return err
	}
	var events eventSplitter
	for reruns, connectFailures := 0, 0; ; {
		t.queueWaits = t.g.membership.Waits()
		inputs, err := t.runStages(ctx, likelyEngine.Zone)
		if errors.Is(err, errInputLost) && reruns < maxStageReruns && ctx.Err() == nil {
			reruns++
			continue
		}
		if err != nil {
			return err
		}
		err = t.generateOnce(ctx, inputs, &events)
		inputs.release()
		switch {
		case err == nil || ctx.Err() != nil:
			return err
		case errors.Is(err, errInputLost) && reruns < maxStageReruns:
			reruns++
			t.attempts--
		case cicadapitch.KindOf(err) == cicadapitch.NotRun && t.attempts == 0 && connectFailures < maxConnectFailures:
			connectFailures++
		case !t.mayRetry():
			return err
		}
	}
}

// generateOnce makes one attempt: it sends the request to one engine and relays
// the stream. The stream resumes after the last event in events, or else after the
// event that the caller named.
func (t *task) generateOnce(ctx context.Context, inputs engineInputs, events *eventSplitter) error {
	e, err := t.waitForEndpoint(ctx, inputs.zone)
	if err != nil {
		return err
	}
	defer t.callEnded(e.ID)
	start := t.g.clock.Now()
	resumeAfter := t.request.ResumeAfter
	if events.lastID != "" {
		resumeAfter = events.lastID
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := t.startSilenceTimer(cancel)
	defer silenceTimer.Stop()
	reply, err := t.send(ctx, e, inputs.handles, resumeAfter)
	if err != nil {
		if !errors.Is(err, errInputLost) {
			t.exclude[e.ID] = true
		}
		return err
	}
	defer reply.Close()
	t.exclude[e.ID] = true
	onFirstEvent := func() {
		took := t.g.clock.Now().Sub(start)
		t.recordSuccess(e.ID, took)
		t.recordFirstEvent(took)
		inputs.release()
	}
	if t.answer.HeaderWritten() && reply.Status >= 300 {
		return cicadapitch.NewOutcomeUnknown(string(e.ID) + " did not go on with the stream")
	}
	if reply.Status < 300 && t.route.Resumable {
		return t.relayEvents(e, reply, events, silenceTimer, onFirstEvent)
	}
	return t.relayStream(e, reply, onFirstEvent)
}

// startSilenceTimer starts a timer that cancels the attempt with errSilent if the
// engine sends nothing for the silence timeout. The timer has no effect where the
// stream cannot be resumed at another engine.
func (t *task) startSilenceTimer(cancel context.CancelCauseFunc) *time.Timer {
	if !t.route.Resumable || t.attempts+1 >= t.route.MaxAttempts {
		return time.NewTimer(t.remaining().Duration() + time.Hour)
	}
	return time.AfterFunc(t.silenceTimeout(false).Duration(), func() { cancel(errSilent) })
}

// silenceTimeout returns how long an engine may send nothing before another engine
// resumes the stream. begun is true after the first event.
func (t *task) silenceTimeout(begun bool) cicadapitch.Millis {
	if t.attempts >= t.route.MaxAttempts {
		return cicadapitch.Minute
	}
	if begun {
		return max(silenceGapFactor*t.route.TargetGap, minSilenceTimeout)
	}
	return max(silenceFirstEventFactor*t.expectedFirstEvent(), minSilenceTimeout)
}

// recordFirstEvent adds a measured time to the first event to the route's moving
// average.
func (t *task) recordFirstEvent(took cicadapitch.Millis) {
	g := t.g
	g.metrics.Tagged(map[string]string{"Route": t.route.Name}).Histogram("FirstEvent", latencyBuckets).RecordDuration(took.Duration())
	g.mu.Lock()
	defer g.mu.Unlock()
	old, ok := g.firstEventTimes[t.route.Name]
	if !ok {
		old = defaultFirstEventMillis
	}
	g.firstEventTimes[t.route.Name] = old + firstEventSmoothing*(float64(took)-old)
}

// expectedFirstEvent returns the route's average time to the first event.
func (t *task) expectedFirstEvent() cicadapitch.Millis {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	if v, ok := t.g.firstEventTimes[t.route.Name]; ok {
		return cicadapitch.Millis(v)
	}
	return cicadapitch.Millis(defaultFirstEventMillis)
}

// relayStream relays a stream to the caller as it arrives. It calls
// onFirstEvent before it writes the first bytes.
func (t *task) relayStream(e fleet.Endpoint, reply *platform.Reply, onFirstEvent func()) error {
	buf := make([]byte, streamBufferBytes)
	for begun := false; ; {
		n, err := reply.Read(buf)
		if n > 0 || err == io.EOF && !begun {
			if !begun {
				begun = true
				onFirstEvent()
				t.status = reply.Status
				t.answer.WriteHeader(reply)
			}
			if t.relayChunk(buf[:n]) != nil {
				return nil // the caller has disconnected
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			t.recordFailure(e.ID, 1)
			return cicadapitch.NewOutcomeUnknown("the stream of " + string(e.ID) + " broke off: " + err.Error())
		}
	}
}

// relayChunk writes and flushes a part of the stream. An error means that the
// caller has disconnected.
func (t *task) relayChunk(b []byte) error {
	if _, err := t.answer.Write(b); err != nil {
		return err
	}
	return t.answer.Flush()
}

// relayEvents relays a stream to the caller in complete events only, so that
// another engine can resume it after the last of them.
func (t *task) relayEvents(e fleet.Endpoint, reply *platform.Reply, events *eventSplitter, silenceTimer *time.Timer, onFirstEvent func()) error {
	events.reset()
	buf := make([]byte, streamBufferBytes)
	for begun := false; ; {
		n, err := reply.Read(buf)
		silenceTimer.Reset(t.silenceTimeout(true).Duration())
		if complete := events.add(buf[:n]); len(complete) > 0 || err == io.EOF {
			if !begun {
				begun = true
				onFirstEvent()
			}
			if !t.answer.HeaderWritten() {
				t.status = reply.Status
				t.answer.WriteHeader(reply)
			}
			if t.relayChunk(complete) != nil {
				return nil // the caller has disconnected
			}
		}
		if err == io.EOF && len(events.partial) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return nil
		}
		if err != nil || len(events.partial) > maxEventBytes {
			t.recordFailure(e.ID, 1)
			return cicadapitch.NewOutcomeUnknown("the stream of " + string(e.ID) + " broke off")
		}
	}
}

// eventSplitter splits a stream of server-sent events into complete events.
type eventSplitter struct {
	// partial holds the bytes after the last complete event.
	partial []byte
	// lastID is the id of the last complete event that has one.
	lastID string
}

// reset drops the incomplete event of an earlier attempt. lastID stays.
func (r *eventSplitter) reset() { r.partial = nil }

// add appends bytes of the stream and returns the events that are now complete.
func (r *eventSplitter) add(b []byte) []byte {
	r.partial = append(r.partial, b...)
	end := bytes.LastIndex(r.partial, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	complete := append([]byte(nil), r.partial[:end+2]...)
	r.partial = append([]byte(nil), r.partial[end+2:]...)
	for _, line := range bytes.Split(complete, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.lastID = string(bytes.TrimSpace(id))
		}
	}
	return complete
}
