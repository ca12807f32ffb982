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
	outcomeTimeout = time.Second
	outcomePoll    = cicadapitch.Millis(50)
)

// Outcome asks the host that minted a token what became of it. A token that has
// not begun never will afterwards.
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
	if err := json.NewDecoder(io.LimitReader(res.Body, maxEventBytes)).Decode(&body); err != nil {
		return idempotency.Outcome{}, cicadapitch.NewOutcomeUnknown("the host's answer cannot be read")
	}
	return outcome(body)
}

func outcome(b entry.OutcomeBody) (idempotency.Outcome, error) {
	phase, err := cicadapitch.AttemptPhaseString(b.Phase)
	if err != nil {
		return idempotency.Outcome{}, cicadapitch.NewOutcomeUnknown("the host's answer cannot be read")
	}
	o := idempotency.Outcome{Phase: phase}
	if b.Answer != nil {
		a := answer(*b.Answer)
		o.Answer = &a
	}
	if b.Error != nil {
		o.Error = cicadapitch.AsError(typed(*b.Error))
	}
	return o, nil
}

// settle asks what became of a request whose sendings gave no answer. Cause is
// why it was given up.
func (c *Client) settle(ctx context.Context, token cicadapitch.Token, cause *cicadapitch.Error) (cicadapitch.Answer, error) {
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
		if c.clock.Sleep(ctx, outcomePoll) != nil {
			return cicadapitch.Answer{}, cicadapitch.NewOutcomeUnknown(cause.Reason)
		}
	}
}
