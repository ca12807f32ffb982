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
	// firstEventDefault is the time to a first event until one was measured.
	firstEventDefault = 200.0
	// firstEventWeight is the weight of the newest measurement.
	firstEventWeight = 0.1
	// streamBuffer fits several events.
	streamBuffer = 8 << 10
	// maxEvent bounds an event of a stream that may be resumed.
	maxEvent = 1 << 20
	// leastSilence, silentFirsts usual times to a first event and silentGaps longest
	// pauses are how long an engine may be silent.
	leastSilence cicadapitch.Millis = 1000
	silentFirsts cicadapitch.Millis = 5
	silentGaps   cicadapitch.Millis = 4
	// stageReruns bounds how often stages are run again because results were gone.
	stageReruns = 1
)

// generate serves a request of a service of model engines.
func (t *task) generate(ctx context.Context) error {
	near, err := t.choose(true, "")
	if err != nil {
		return err
	}
	var events eventReader
	for reruns, connects := 0, 0; ; {
		t.waits = t.g.mesh.Waits()
		in, err := t.runStages(ctx, near.Zone)
		if errors.Is(err, errInputGone) && reruns < stageReruns && ctx.Err() == nil {
			reruns++
			continue
		}
		if err != nil {
			return err
		}
		err = t.generateOnce(ctx, in, &events)
		in.release()
		switch {
		case err == nil || ctx.Err() != nil:
			return err
		case errors.Is(err, errInputGone) && reruns < stageReruns:
			reruns++
			t.sent--
		case cicadapitch.KindOf(err) == cicadapitch.NotRun && t.sent == 0 && connects < maxConnectFailures:
			connects++
		case !t.mayRepeat():
			return err
		}
	}
}

// generateOnce sends the request to one engine and passes the stream on.
func (t *task) generateOnce(ctx context.Context, in stageResults, events *eventReader) error {
	e, err := t.chooseSoon(ctx, in.zone)
	if err != nil {
		return err
	}
	defer t.ended(e.ID)
	start := t.g.clock.Now()
	resume := t.request.ResumeAfter
	if events.last != "" {
		resume = events.last
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := t.watchSilence(cancel)
	defer silence.Stop()
	reply, err := t.send(ctx, e, in.handles, resume)
	if err != nil {
		if !errors.Is(err, errInputGone) {
			t.exclude[e.ID] = true
		}
		return err
	}
	defer reply.Close()
	t.exclude[e.ID] = true
	first := func() {
		took := t.g.clock.Now().Sub(start)
		t.succeeded(e.ID, took)
		t.learnFirst(took)
		in.release()
	}
	if t.answer.HeaderWritten() && reply.Status >= 300 {
		return cicadapitch.NewOutcomeUnknown(string(e.ID) + " did not go on with the stream")
	}
	if reply.Status < 300 && t.route.Resumable {
		return t.passEvents(e, reply, events, silence, first)
	}
	return t.passStream(e, reply, first)
}

// watchSilence ends an attempt at an engine that is silent for longer than a
// resumable stream should wait for it.
func (t *task) watchSilence(cancel context.CancelCauseFunc) *time.Timer {
	if !t.route.Resumable || t.sent+1 >= t.route.MaxAttempts {
		return time.NewTimer(t.left().Duration() + time.Hour)
	}
	return time.AfterFunc(t.silentAfter(false).Duration(), func() { cancel(errSilent) })
}

// silentAfter is how long an engine may be silent before another one goes on.
func (t *task) silentAfter(begun bool) cicadapitch.Millis {
	if t.sent >= t.route.MaxAttempts {
		return cicadapitch.Minute
	}
	if begun {
		return max(silentGaps*t.route.GapAim, leastSilence)
	}
	return max(silentFirsts*t.expectedFirst(), leastSilence)
}

func (t *task) learnFirst(took cicadapitch.Millis) {
	g := t.g
	g.metrics.Tagged(map[string]string{"Route": t.route.Name}).Histogram("FirstEvent", Buckets).RecordDuration(took.Duration())
	g.mu.Lock()
	defer g.mu.Unlock()
	old, ok := g.firstEvent[t.route.Name]
	if !ok {
		old = firstEventDefault
	}
	g.firstEvent[t.route.Name] = old + firstEventWeight*(float64(took)-old)
}

func (t *task) expectedFirst() cicadapitch.Millis {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	if v, ok := t.g.firstEvent[t.route.Name]; ok {
		return cicadapitch.Millis(v)
	}
	return cicadapitch.Millis(firstEventDefault)
}

// passStream passes a stream on as it comes.
func (t *task) passStream(e fleet.Endpoint, reply *platform.Reply, first func()) error {
	buf := make([]byte, streamBuffer)
	for begun := false; ; {
		n, err := reply.Read(buf)
		if n > 0 || err == io.EOF && !begun {
			if !begun {
				begun = true
				first()
				t.status = reply.Status
				t.answer.WriteHeader(reply)
			}
			if t.passPart(buf[:n]) != nil {
				return nil // the caller has gone
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			t.failed(e.ID, 1)
			return cicadapitch.NewOutcomeUnknown("the stream of " + string(e.ID) + " broke off: " + err.Error())
		}
	}
}

func (t *task) passPart(b []byte) error {
	if _, err := t.answer.Write(b); err != nil {
		return err
	}
	return t.answer.Flush()
}

// passEvents passes on whole events only, so that another engine can go on
// after the last of them.
func (t *task) passEvents(e fleet.Endpoint, reply *platform.Reply, events *eventReader, silence *time.Timer, first func()) error {
	events.reset()
	buf := make([]byte, streamBuffer)
	for begun := false; ; {
		n, err := reply.Read(buf)
		silence.Reset(t.silentAfter(true).Duration())
		if whole := events.add(buf[:n]); len(whole) > 0 || err == io.EOF {
			if !begun {
				begun = true
				first()
			}
			if !t.answer.HeaderWritten() {
				t.status = reply.Status
				t.answer.WriteHeader(reply)
			}
			if t.passPart(whole) != nil {
				return nil // the caller has gone
			}
		}
		if err == io.EOF && len(events.rest) > 0 {
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			return nil
		}
		if err != nil || len(events.rest) > maxEvent {
			t.failed(e.ID, 1)
			return cicadapitch.NewOutcomeUnknown("the stream of " + string(e.ID) + " broke off")
		}
	}
}

// eventReader splits a stream into whole events.
type eventReader struct {
	rest []byte
	// last is the id of the last whole event.
	last string
}

func (r *eventReader) reset() { r.rest = nil }

// add takes bytes of the stream and returns the whole events so far.
func (r *eventReader) add(b []byte) []byte {
	r.rest = append(r.rest, b...)
	end := bytes.LastIndex(r.rest, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	whole := append([]byte(nil), r.rest[:end+2]...)
	r.rest = append([]byte(nil), r.rest[end+2:]...)
	for _, line := range bytes.Split(whole, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			r.last = string(bytes.TrimSpace(id))
		}
	}
	return whole
}
