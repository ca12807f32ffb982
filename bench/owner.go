package bench

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
)

const (
	// hopLatency is the one-way latency between two hosts, or between a host
	// and an endpoint.
	hopLatency cicadapitch.Millis = 1
	// reportLag is the age of a load report when the owner receives it.
	reportLag cicadapitch.Millis = 300
)

// owner is the simulated counterpart of endpoint.Owner on virtual time. It
// holds a shard, the host that owns it at present, and the state that this host
// keeps for it. host is nil while no host owns the shard.
type owner struct {
	s     *sim
	shard cicadapitch.Shard
	host  *host
	// loading is true while an engine of the shard is loading a model or is
	// paused for it.
	loading  bool
	state    *endpoint.State
	attempts map[cicadapitch.AttemptID]*attempt
}

// takeOver makes h the owner of the shard, with a new state.
func (o *owner) takeOver(h *host) {
	o.host = h
	o.state = endpoint.NewState(o.s.policy.Endpoint)
	o.attempts = make(map[cicadapitch.AttemptID]*attempt)
	o.handle(o.state.Configure(o.s.now, o.s.cfg, o.shard))
}

// tick advances the state and polls the endpoints that are due. A report is
// dropped if the shard has changed its owner meanwhile.
func (o *owner) tick() {
	if o.host == nil {
		return
	}
	o.handle(o.state.Tick(o.s.now))
	state, polledAt := o.state, o.s.now
	for _, e := range o.state.DuePolls(o.s.now) {
		o.s.after(2*hopLatency, func() {
			en := o.s.fakeEndpoints[e.ID]
			switch {
			case o.state != state:
			case en.down:
				state.ReportFailed(e.ID)
			default:
				o.handle(state.Report(o.s.now, polledAt, e.ID, en.report(o.s.now, reportLag)))
			}
		})
	}
}

// submit submits an attempt. If no host owns the shard, the attempt fails with
// NotRun and may be retried after 1 ms.
func (o *owner) submit(a *attempt) {
	if o.host == nil {
		o.s.after(hopLatency, func() { a.failed(cicadapitch.NotRun, 1, endpoint.Moved) })
		return
	}
	o.attempts[a.job.Attempt] = a
	o.handle(o.state.Submit(o.s.now, a.job))
}

// cancel cancels an attempt whose request has ended.
func (o *owner) cancel(a *attempt) {
	if o.attempts[a.job.Attempt] != a {
		return
	}
	if a.call != nil && !a.call.ended {
		o.s.fakeEndpoints[a.endpoint].endCall(o.s.now, a.call)
		o.finish(a, endpoint.Canceled, 0)
		return
	}
	o.handle(o.state.Withdraw(o.s.now, a.job.Attempt))
}

// handle executes the commands of the state: it starts or refuses attempts.
func (o *owner) handle(commands []endpoint.Command) {
	for _, c := range commands {
		a := o.attempts[c.Attempt]
		if c.Action == endpoint.Start {
			o.start(a, c)
			continue
		}
		delete(o.attempts, c.Attempt)
		o.s.after(hopLatency, func() { a.failed(cicadapitch.NotRun, c.RetryAfter, c.Cause) })
	}
}

// start starts the call of an attempt and schedules its first token and its
// end. The endpoint declines the call if it is down.
func (o *owner) start(a *attempt, c endpoint.Command) {
	en := o.s.fakeEndpoints[c.Endpoint.ID]
	a.endpoint = c.Endpoint.ID
	if en.down {
		o.s.after(hopLatency, func() { o.finish(a, endpoint.Declined, 0) })
		return
	}
	a.recordStart()
	cl := &call{attempt: a}
	a.call = cl
	en.startCall(o.s.now, cl)
	first := cicadapitch.Millis(cl.firstTokenMillis)
	whole := cicadapitch.Millis(cl.firstTokenMillis + cl.perTokenMillis*float64(a.tokens))
	o.s.after(first, func() {
		if !cl.ended && a.tokens > 0 {
			a.request.recordFirstToken(a, cl)
			o.handle(o.state.Progress(o.s.now, a.job.Attempt))
		}
	})
	o.s.after(whole, func() {
		if !cl.ended {
			en.endCall(o.s.now, cl)
			o.finish(a, endpoint.Succeeded, a.tokens)
		}
	})
}

// finish reports the outcome of a call to the state and the entry host. A
// declined attempt stays with the owner, since the state may start it at another
// endpoint.
func (o *owner) finish(a *attempt, outcome endpoint.CallOutcome, tokens cicadapitch.Tokens) {
	if o.attempts[a.job.Attempt] != a {
		return
	}
	if outcome != endpoint.Declined {
		delete(o.attempts, a.job.Attempt)
		a.charge()
	}
	o.handle(o.state.Finish(o.s.now, endpoint.CallEnd{Attempt: a.job.Attempt, Outcome: outcome, Tokens: tokens}))
	load := o.state.Load(o.s.now)
	switch outcome {
	case endpoint.Succeeded:
		o.s.after(hopLatency, func() { a.succeeded(load) })
	case endpoint.Broken:
		o.s.after(hopLatency, func() { a.failed(cicadapitch.OutcomeUnknown, 0, endpoint.NoCause) })
	}
}
