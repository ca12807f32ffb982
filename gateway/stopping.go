package gateway

import (
	"context"
	"errors"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

const (
	// soundSilence is how long a sound endpoint may send nothing.
	soundSilence cicadapitch.Millis = 1600
	// wayBackMargin is the time in which an answer that has come leaves this host.
	wayBackMargin cicadapitch.Millis = 100
	// stoppingRetryAfter is short because the caller can retry at another host at once.
	stoppingRetryAfter cicadapitch.Millis = 50
)

var (
	// errStopping rejects requests whose answers may not be whole before the host ends.
	errStopping = cicadapitch.NewNotRun("the host is stopping", stoppingRetryAfter)
	// errGivenUp is the cause with which a request ends that still runs at the end of a stop.
	errGivenUp = errors.New("the host ends")
)

// plannedStop says when this host stops. It is nil while the host is not asked to.
type plannedStop struct {
	// requestedAt is when the host was asked to stop, endsAt when it gives up what still runs.
	requestedAt, endsAt cicadapitch.Instant
	// hosts is the number of hosts that shared what endpoints allow when this one was asked to stop.
	hosts int
}

// spare returns how much is left of the host's time after a call that lasts for need. It is negative
// if the call may not end in time.
func (s *plannedStop) spare(now cicadapitch.Instant, need cicadapitch.Millis) cicadapitch.Millis {
	return s.endsAt.Sub(now) - need
}

// admits reports whether a call that lasts for need ends before the host does.
func (s *plannedStop) admits(now cicadapitch.Instant, need cicadapitch.Millis) bool {
	return s == nil || s.spare(now, need) >= 0
}

// log adds to a line how long ago the host was asked to stop.
func (s *plannedStop) log(event *zerolog.Event, now cicadapitch.Instant) *zerolog.Event {
	if s == nil {
		return event
	}
	return event.Int64("SinceStopMs", int64(now.Sub(s.requestedAt)))
}

// Stop makes the host pass on only what is certain to be answered before endsAt. The rest is rejected
// at once. It relays no further connections.
func (g *Gateway) Stop(endsAt cicadapitch.Instant) {
	g.stop.Store(&plannedStop{g.clock.Now(), endsAt, g.membership.HostCount()})
	g.relays.Stop()
	g.announceStop()
}

// hostCount returns the number of hosts that share what endpoints allow. A host that stops keeps to its
// share: hosts that stop with it are not registered any more, but still send calls.
func (g *Gateway) hostCount() int {
	n := g.membership.HostCount()
	if s := g.stop.Load(); s != nil {
		n = max(n, s.hosts)
	}
	return n
}

// GiveUp ends all requests that still run, with answers that say whether they may have run.
func (g *Gateway) GiveUp() { g.giveUp() }

// arrivalNeed returns the time that the request may take from now on, its stages included.
func (p *proxiedRequest) arrivalNeed(now cicadapitch.Instant) cicadapitch.Millis {
	return min(p.deadline.Sub(now), p.estimateStages()+p.need(now))
}

// Idle reports whether this host does nothing for callers or other hosts. Connections that it relays
// count as work.
func (g *Gateway) Idle() bool {
	for s := range g.running {
		if g.running[s].Load() > 0 {
			return false
		}
	}
	return g.stagesOfOthers.Load() == 0 && g.relays.Open() == 0
}

// need returns the longest time that the request may still take once it is sent. At its deadline the
// caller gets an answer in any case. Calls that have ended say nothing of those that outlast them.
func (p *proxiedRequest) need(now cicadapitch.Instant) cicadapitch.Millis {
	left := p.deadline.Sub(now)
	longest, ok := p.g.callTimes.longest(now, p.route.Name)
	if !ok {
		return left
	}
	need := longest + soundSilence + wayBackMargin
	if need >= left || p.g.callTimes.outlasted(now, p.route.Name, need) {
		return left
	}
	return need
}

// checkStop returns errStopping if the host stops before a request that still needs the given time
// would end.
func (p *proxiedRequest) checkStop(now cicadapitch.Instant, need cicadapitch.Millis) error {
	s := p.g.stop.Load()
	if s.admits(now, need) {
		return nil
	}
	p.g.countStopping("Rejected")
	s.log(p.g.log.Info(), now).Str("Id", string(p.request.ID)).Str("Route", p.route.Name).
		Int64("NeedMs", int64(need)).Int64("SpareMs", int64(s.spare(now, need))).Bool("MayRun", p.mayHaveRun).Msg("rejected by the stop")
	return errStopping
}

// countStopping counts a decision on a request of a host that stops.
func (g *Gateway) countStopping(outcome string) {
	g.metrics.Tagged(map[string]string{"Outcome": outcome}).Counter("RequestsWhileStopping").Inc(1)
}

// commit decides whether the request is sent to an endpoint. It is called when nothing is left to
// wait for.
func (p *proxiedRequest) commit() error {
	p.commitMu.Lock()
	defer p.commitMu.Unlock()
	now := p.g.clock.Now()
	if err := p.checkStop(now, p.need(now)); err != nil {
		return err
	}
	if err := p.rejectQuarantined(); err != nil {
		return err
	}
	p.recordNeed(now)
	if !p.answer.HeaderWritten() {
		p.setState(stateSent)
	}
	if p.committedAt == 0 {
		p.committedAt = now
		p.g.callTimes.begin(now, p)
	}
	return nil
}

// commitRetry decides whether the request is sent to another endpoint while one has it already.
func (p *proxiedRequest) commitRetry() error {
	p.commitMu.Lock()
	defer p.commitMu.Unlock()
	now := p.g.clock.Now()
	if !p.g.stop.Load().admits(now, p.need(now)) {
		return errStopping
	}
	if err := p.rejectQuarantined(); err != nil {
		return err
	}
	p.recordNeed(now)
	return nil
}

// recordNeed records how long the request that is being sent by a host that stops might last. The caller
// holds commitMu.
func (p *proxiedRequest) recordNeed(now cicadapitch.Instant) {
	if p.g.stop.Load() == nil {
		return
	}
	p.g.countStopping("Sent")
	p.committedNeed = p.need(now)
}

// untilGivenUp returns a context that ends with errGivenUp once the host gives up what still runs.
func (g *Gateway) untilGivenUp(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(g.givenUp, func() { cancel(errGivenUp) })
	return ctx, func(cause error) { stop(); cancel(cause) }
}

// untilGivenUp is that of the gateway, whose context also ends with errStopping once the request has
// waited for too long to be committed at a host that stops, and once its Hold gives it up.
func (p *proxiedRequest) untilGivenUp(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := p.g.untilGivenUp(ctx)
	p.answer.Hold().OnGiveUp(cancel)
	// This only ends the wait sooner: whether the request is sent is decided when it is committed.
	stop := context.AfterFunc(p.g.stopAnnounced, func() { p.endWait(ctx, cancel) })
	return ctx, func() { stop(); cancel(nil) }
}

// endWait cancels the request if it still waits when it cannot be committed any more. A request that
// waits again later, after an attempt has failed, is rejected by then.
func (p *proxiedRequest) endWait(ctx context.Context, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		now := p.g.clock.Now()
		spare := p.g.stop.Load().spare(now, p.need(now))
		if spare < 0 {
			p.cancelWait(cancel)
			return
		}
		// Sleep fails only if ctx has ended.
		_ = p.g.clock.Sleep(ctx, spare+1)
	}
}

// cancelWait cancels the request if it waits.
func (p *proxiedRequest) cancelWait(cancel context.CancelCauseFunc) {
	p.commitMu.Lock()
	defer p.commitMu.Unlock()
	if requestState(p.state.Load()) == stateWaiting {
		cancel(errStopping)
	}
}
