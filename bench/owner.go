package bench

import (
	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
)

const (
	// hop is the latency between two hosts, or a host and an endpoint.
	hop cicadapitch.Millis = 1
	// reportLag is the age of a load report when it is read.
	reportLag cicadapitch.Millis = 300
)

// owner is one shard with the host that owns it. It does what endpoint.Owner
// does, on virtual time.
type owner struct {
	s     *sim
	shard cicadapitch.Shard
	host  *host
	// resting is true while an engine of the shard loads or waits to.
	resting  bool
	state    *endpoint.State
	attempts map[cicadapitch.AttemptID]*attempt
}

// gain makes a host the owner, with a fresh state.
func (o *owner) gain(h *host) {
	o.host = h
	o.state = endpoint.NewState(o.s.policy.Endpoint)
	o.attempts = make(map[cicadapitch.AttemptID]*attempt)
	o.handle(o.state.Configure(o.s.now, o.s.cfg, o.shard))
}

func (o *owner) tick() {
	if o.host == nil {
		return
	}
	o.handle(o.state.Tick(o.s.now))
	state, asked := o.state, o.s.now
	for _, e := range o.state.DuePolls(o.s.now) {
		o.s.after(2*hop, func() {
			en := o.s.engines[e.ID]
			switch {
			case o.state != state:
			case en.down:
				state.ReportFailed(e.ID)
			default:
				o.handle(state.Report(o.s.now, asked, e.ID, en.report(o.s.now, reportLag)))
			}
		})
	}
}

func (o *owner) submit(a *attempt) {
	if o.host == nil {
		o.s.after(hop, func() { a.failed(cicadapitch.NotRun, 1, endpoint.Moved) })
		return
	}
	o.attempts[a.job.Attempt] = a
	o.handle(o.state.Submit(o.s.now, a.job))
}

// withdraw cancels an attempt whose request is over.
func (o *owner) withdraw(a *attempt) {
	if o.attempts[a.job.Attempt] != a {
		return
	}
	if a.call != nil && !a.call.ended {
		o.s.engines[a.endpoint].end(o.s.now, a.call)
		o.finish(a, endpoint.Canceled, 0)
		return
	}
	o.handle(o.state.Withdraw(o.s.now, a.job.Attempt))
}

func (o *owner) handle(commands []endpoint.Command) {
	for _, c := range commands {
		a := o.attempts[c.Attempt]
		if c.Action == endpoint.Start {
			o.start(a, c)
			continue
		}
		delete(o.attempts, c.Attempt)
		o.s.after(hop, func() { a.failed(cicadapitch.NotRun, c.RetryAfter, c.Cause) })
	}
}

func (o *owner) start(a *attempt, c endpoint.Command) {
	en := o.s.engines[c.Endpoint.ID]
	a.endpoint = c.Endpoint.ID
	if en.down {
		o.s.after(hop, func() { o.finish(a, endpoint.Declined, 0) })
		return
	}
	a.began()
	cl := &call{try: a}
	a.call = cl
	en.begin(o.s.now, cl)
	first := cicadapitch.Millis(cl.first)
	whole := cicadapitch.Millis(cl.first + cl.token*float64(a.tokens))
	o.s.after(first, func() {
		if !cl.ended && a.tokens > 0 {
			a.request.firstToken(a, cl)
			o.handle(o.state.Progress(o.s.now, a.job.Attempt))
		}
	})
	o.s.after(whole, func() {
		if !cl.ended {
			en.end(o.s.now, cl)
			o.finish(a, endpoint.Succeeded, a.tokens)
		}
	})
}

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
		o.s.after(hop, func() { a.succeeded(load) })
	case endpoint.Broken:
		o.s.after(hop, func() { a.failed(cicadapitch.OutcomeUnknown, 0, endpoint.NoCause) })
	}
}
