package client

import (
	"context"
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"cicadapitch.example/cicadapitch/idempotency"
)

// lostRetryMillis is the wait before a request whose connection broke is sent
// again.
const lostRetryMillis cicadapitch.Millis = 20

// delivery is one request on its way to an answer.
type delivery struct {
	c        *Client
	req      cicadapitch.Request
	deadline cicadapitch.Instant
	stream   *stream

	token cicadapitch.Token
	// own is true where the token came from the directory and not from the
	// caller, so that it may be replaced while it has not been sent.
	own bool
	// once is true where the request runs under a token or key.
	once bool
	// sent is true once a host may have got the request.
	sent bool
	// unsettled is true while a sending may be running or have run.
	unsettled bool
	failed    []string
}

// run sends the request until it has an answer or a final error.
func (d *delivery) run(ctx context.Context) (cicadapitch.Answer, error) {
	d.token = d.req.Token
	var last *cicadapitch.Error
	for n := range d.c.maxSends {
		if n > 0 && !d.again(ctx, last) {
			break
		}
		host, err := d.prepare(ctx)
		if err != nil {
			return d.conclude(ctx, cicadapitch.AsError(err))
		}
		d.stream.restart()
		r := d.c.send(ctx, host, d.body(), d.stream.take)
		if r.err == nil {
			return r.answer, nil
		}
		last = d.note(host, r)
	}
	return d.conclude(ctx, last)
}

// prepare picks the host of the next sending, and the token where one is
// needed. The host that minted the token comes first.
func (d *delivery) prepare(ctx context.Context) (string, error) {
	hosts, err := d.c.hosts.list(ctx)
	if err != nil {
		return "", err
	}
	keyed := d.req.IdempotencyKey != ""
	d.once = d.token != "" || keyed || d.c.hosts.needsToken(d.req.Pipeline)
	if d.once && d.token == "" && !keyed {
		if d.token, err = d.c.hosts.token(ctx); err != nil {
			return "", err
		}
		d.own = true
	}
	if r, err := idempotency.ParseUnverified(d.token); err == nil && !slices.Contains(d.failed, r.Address) {
		return r.Address, nil
	}
	return d.pick(hosts), nil
}

// pick returns the nearest host that has not failed this request.
func (d *delivery) pick(hosts []string) string {
	for _, h := range hosts {
		if !slices.Contains(d.failed, h) {
			return h
		}
	}
	d.failed = nil
	return hosts[0]
}

func (d *delivery) body() entry.RequestBody {
	return entry.RequestBody{
		Pipeline:       string(d.req.Pipeline),
		Input:          d.req.Input,
		Prefix:         d.req.Prefix,
		Deadline:       int64(max(d.deadline.Sub(d.c.clock.Now()), 1)),
		Token:          string(d.token),
		IdempotencyKey: d.req.IdempotencyKey,
		Repeated:       d.req.Repeated || d.sent,
	}
}

// note takes in how a sending failed and returns its error. A token from the
// directory is replaced where no host can have got it, or where its host said
// that nothing has run under it.
func (d *delivery) note(host string, r reply) *cicadapitch.Error {
	d.failed = append(d.failed, host)
	if r.heard {
		return d.heed(cicadapitch.AsError(r.err))
	}
	d.sent = d.sent || r.sent
	d.unsettled = d.unsettled || r.sent
	if d.own && !d.sent {
		d.renew()
	}
	d.c.hosts.forget()
	return cicadapitch.NewNotRun("a host gave no answer: "+r.err.Error(), lostRetryMillis)
}

// heed takes in what a host has said. Unavailable says nothing about earlier
// sendings; every other error is about the token or key itself.
func (d *delivery) heed(e *cicadapitch.Error) *cicadapitch.Error {
	if e.Kind == cicadapitch.Unavailable {
		return e
	}
	d.unsettled = false
	if d.own && d.repeatable(e) {
		d.renew()
	}
	return e
}

// renew gives up a token under which nothing has run.
func (d *delivery) renew() {
	d.token = ""
	d.own = false
	d.sent = false
}

// again waits for the next sending, or returns false where there must be none.
func (d *delivery) again(ctx context.Context, last *cicadapitch.Error) bool {
	if !d.repeatable(last) || !d.c.budget.Withdraw() {
		return false
	}
	wait := jitter(max(last.RetryAfter, lostRetryMillis))
	if d.c.clock.Now().Add(wait) >= d.deadline {
		return false
	}
	return d.c.clock.Sleep(ctx, wait) == nil
}

// repeatable reports whether the request may be sent again after an error. What
// may not be repeated goes out under the same right and joins the run that may
// have begun.
func (d *delivery) repeatable(e *cicadapitch.Error) bool {
	switch e.Kind {
	case cicadapitch.NotRun, cicadapitch.Unavailable, cicadapitch.DeadlineExceeded:
		return true
	}
	return false
}

// conclude returns the final answer or error. It says NotRun only where no
// sending can have run, and asks the host of the token where one may have.
func (d *delivery) conclude(ctx context.Context, e *cicadapitch.Error) (cicadapitch.Answer, error) {
	var none cicadapitch.Answer
	switch {
	case e == nil:
		return none, cicadapitch.NewError(cicadapitch.Internal, "the request could not be sent", "report it")
	case !d.unsettled:
		return none, e
	case d.token != "":
		return d.c.settle(ctx, d.token, e)
	case d.once:
		return none, cicadapitch.NewOutcomeUnknown(e.Reason)
	}
	return none, &cicadapitch.Error{
		Kind:       cicadapitch.DeadlineExceeded,
		Reason:     e.Reason,
		Remedy:     "send the request again",
		RetryAfter: e.RetryAfter,
	}
}
