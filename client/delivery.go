package client

import (
	"context"
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"cicadapitch.example/cicadapitch/idempotency"
)

// minRetryDelayMillis is the shortest delay before a retry; jitter is added to it.
// A lost connection has no Retry-After, so its retry gets this delay.
const minRetryDelayMillis cicadapitch.Millis = 20

// delivery sends one request, with retries, until it has a final result.
type delivery struct {
	c        *Client
	req      cicadapitch.Request
	deadline cicadapitch.Instant
	chunks   *chunkDeduplicator

	token cicadapitch.Token
	// tokenFromDirectory is true if the token came from the directory and not
	// from the caller. Only such a token may be replaced.
	tokenFromDirectory bool
	// hasTokenOrKey is true if hosts deduplicate the request by a token or an
	// idempotency key.
	hasTokenOrKey bool
	// sent is true once a host may have received the request.
	sent bool
	// outcomeUnknown is true while an earlier send may be running or may have
	// run.
	outcomeUnknown bool
	// failedHosts are the base URLs of hosts that failed this request.
	failedHosts []string
}

// run sends the request until it has an answer or a final error, or until the
// sends, the retry budget or the deadline are used up.
func (d *delivery) run(ctx context.Context) (cicadapitch.Answer, error) {
	d.token = d.req.Token
	var last *cicadapitch.Error
	for n := range d.c.maxSends {
		if n > 0 && !d.waitForRetry(ctx, last) {
			break
		}
		host, err := d.prepareSend(ctx)
		if err != nil {
			return d.finish(ctx, cicadapitch.AsError(err))
		}
		d.chunks.startSend()
		r := d.c.send(ctx, host, d.requestBody(), d.chunks.add)
		if r.err == nil {
			return r.answer, nil
		}
		last = d.recordFailure(host, r)
	}
	return d.finish(ctx, last)
}

// prepareSend takes a token from the directory if the pipeline needs one, and
// returns the base URL of the host for the next send. It prefers the host that
// minted the token.
func (d *delivery) prepareSend(ctx context.Context) (string, error) {
	hosts, err := d.c.hosts.list(ctx)
	if err != nil {
		return "", err
	}
	keyed := d.req.IdempotencyKey != ""
	d.hasTokenOrKey = d.token != "" || keyed || d.c.hosts.needsToken(d.req.Pipeline)
	if d.hasTokenOrKey && d.token == "" && !keyed {
		if d.token, err = d.c.hosts.token(ctx); err != nil {
			return "", err
		}
		d.tokenFromDirectory = true
	}
	if r, err := idempotency.ParseUnverified(d.token); err == nil && !slices.Contains(d.failedHosts, r.Address) {
		return r.Address, nil
	}
	return d.pickHost(hosts), nil
}

// pickHost returns the nearest host that has not failed this request. Once all
// have failed, it starts over with the nearest.
func (d *delivery) pickHost(hosts []string) string {
	for _, h := range hosts {
		if !slices.Contains(d.failedHosts, h) {
			return h
		}
	}
	d.failedHosts = nil
	return hosts[0]
}

// requestBody returns the body of the next send, with the time left as its
// deadline.
func (d *delivery) requestBody() entry.RequestBody {
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

// recordFailure records a failed send and returns its error. It discards a token
// from the directory if no host can have received it, or if a host replied that
// nothing has run under it.
func (d *delivery) recordFailure(host string, r sendResult) *cicadapitch.Error {
	d.failedHosts = append(d.failedHosts, host)
	if r.fromHost {
		return d.recordHostError(cicadapitch.AsError(r.err))
	}
	d.sent = d.sent || r.sent
	d.outcomeUnknown = d.outcomeUnknown || r.sent
	if d.tokenFromDirectory && !d.sent {
		d.discardToken()
	}
	d.c.hosts.invalidate()
	return cicadapitch.NewNotRun("a host gave no answer: "+r.err.Error(), minRetryDelayMillis)
}

// recordHostError records an error that a host returned. Unavailable leaves the
// outcome of earlier sends open; every other error applies to the token or
// idempotency key, and therefore to earlier sends as well.
func (d *delivery) recordHostError(e *cicadapitch.Error) *cicadapitch.Error {
	if e.Kind == cicadapitch.Unavailable {
		return e
	}
	d.outcomeUnknown = false
	if d.tokenFromDirectory && d.retryable(e) {
		d.discardToken()
	}
	return e
}

// discardToken drops a token under which nothing has run, so that the next send
// takes a new one.
func (d *delivery) discardToken() {
	d.token = ""
	d.tokenFromDirectory = false
	d.sent = false
}

// waitForRetry waits until the request may be retried. It returns false if the
// error is final, or if the retry budget or the deadline does not allow a retry.
func (d *delivery) waitForRetry(ctx context.Context, last *cicadapitch.Error) bool {
	if !d.retryable(last) || !d.c.budget.Withdraw() {
		return false
	}
	wait := withJitter(max(last.RetryAfter, minRetryDelayMillis))
	if d.c.clock.Now().Add(wait) >= d.deadline {
		return false
	}
	return d.c.clock.Sleep(ctx, wait) == nil
}

// retryable reports whether the request may be sent again after an error. If
// its work may not be repeated, the request carries the same token or
// idempotency key, so that the host attaches it to a run that has begun.
func (d *delivery) retryable(e *cicadapitch.Error) bool {
	switch e.Kind {
	case cicadapitch.NotRun, cicadapitch.Unavailable, cicadapitch.DeadlineExceeded:
		return true
	}
	return false
}

// finish returns the final answer or error. It returns NotRun only if no send
// can have run. If one may have run under a token, it asks the token's host for
// the outcome. If one may have run under an idempotency key, the error is
// OutcomeUnknown. Without a token or key the work may be repeated, and the error
// is DeadlineExceeded.
func (d *delivery) finish(ctx context.Context, e *cicadapitch.Error) (cicadapitch.Answer, error) {
	var none cicadapitch.Answer
	switch {
	case e == nil:
		return none, cicadapitch.NewError(cicadapitch.Internal, "the request could not be sent", "report it")
	case !d.outcomeUnknown:
		return none, e
	case d.token != "":
		return d.c.waitForOutcome(ctx, d.token, e)
	case d.hasTokenOrKey:
		return none, cicadapitch.NewOutcomeUnknown(e.Reason)
	}
	return none, &cicadapitch.Error{
		Kind:       cicadapitch.DeadlineExceeded,
		Reason:     e.Reason,
		Remedy:     "send the request again",
		RetryAfter: e.RetryAfter,
	}
}
