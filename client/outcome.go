package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"cicadapitch.example/cicadapitch/idempotency"
)

const (
	outcomeTimeout    = time.Second
	outcomePollMillis = cicadapitch.Millis(50)
)

// Outcome returns the outcome of the request with the given token, as reported
// by the host that minted the token. If no request has begun under the token,
// the host rejects any later one. An OutcomeUnknown error means that the host
// could not be reached or that its answer could not be read. Other errors are
// those that the host returned, or mean that the token or an error response of the
// host is malformed.
func (c *Client) Outcome(ctx context.Context, token cicadapitch.Token) (idempotency.Outcome, error) {
	r, err := idempotency.ParseUnverified(token)
	if err != nil {
		return idempotency.Outcome{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	u := r.Address + "/v1/requests/" + url.PathEscape(string(token)) + "/outcome"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return idempotency.Outcome{}, cicadapitch.Wrap(err)
	}
	c.authorize(req)
	res, err := c.http.Do(req)
	if err != nil {
		return idempotency.Outcome{}, cicadapitch.NewOutcomeUnknown("the host of the token gives no answer")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return idempotency.Outcome{}, readError(io.LimitReader(res.Body, maxErrorBytes)).err
	}
	var body entry.OutcomeBody
	if err := json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(&body); err != nil {
		return idempotency.Outcome{}, cicadapitch.NewOutcomeUnknown("the host's answer cannot be read")
	}
	return outcomeFromBody(body)
}

// outcomeFromBody converts the body of an outcome.
func outcomeFromBody(b entry.OutcomeBody) (idempotency.Outcome, error) {
	phase, err := cicadapitch.AttemptPhaseString(b.Phase)
	if err != nil {
		return idempotency.Outcome{}, cicadapitch.NewOutcomeUnknown("the host's answer cannot be read")
	}
	o := idempotency.Outcome{Phase: phase}
	if b.Answer != nil {
		a := answerFromBody(*b.Answer)
		o.Answer = &a
	}
	if b.Error != nil {
		o.Error = cicadapitch.AsError(errorFromBody(*b.Error))
	}
	return o, nil
}

// waitForOutcome polls the outcome of a request until it has an answer or an
// error. If the outcome can't be determined, it returns OutcomeUnknown with the
// reason of cause, the error of the last send.
func (c *Client) waitForOutcome(ctx context.Context, token cicadapitch.Token, cause *cicadapitch.Error) (cicadapitch.Answer, error) {
	for {
		o, err := c.Outcome(ctx, token)
		switch {
		case err != nil:
			return cicadapitch.Answer{}, cicadapitch.NewOutcomeUnknown(cause.Reason)
		case o.Answer != nil:
			return *o.Answer, nil
		case o.Error != nil:
			return cicadapitch.Answer{}, o.Error
		}
		if c.clock.Sleep(ctx, outcomePollMillis) != nil {
			return cicadapitch.Answer{}, cicadapitch.NewOutcomeUnknown(cause.Reason)
		}
	}
}
