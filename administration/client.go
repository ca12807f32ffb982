package administration

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"cicadapitch.example/cicadapitch/internal/answer"
	"cicadapitch.example/cicadapitch/order"
)

const (
	// callTimeout covers order.MaxWait for the store and again for the hosts,
	// plus a margin.
	callTimeout = 2*order.MaxWait + 3*cicadapitch.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 16 << 20
)

// Client calls the administration API of the hosts of one deployment. It
// authenticates with an operator's key.
type Client struct {
	hosts []string
	key   string
	http  *http.Client
}

// Option configures a Client.
type Option func(*Client)

// New returns a client with an operator's key. Hosts are base URLs. The client
// calls them in the given order, until one answers.
func New(hosts []string, key string, opts ...Option) *Client {
	c := &Client{hosts: hosts, key: key, http: &http.Client{Transport: answer.NewTransport(), Timeout: callTimeout.Duration()}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// NewChangeID returns a new unique change id: the current time in UTC and random
// characters.
func NewChangeID() cicadapitch.ChangeID {
	return cicadapitch.ChangeID(fmt.Sprintf("%s-%s", time.Now().UTC().Format("20060102T150405"), rand.Text()[:10]))
}

// Order sends an order with the given name, such as zone. The body must hold a
// change id: if a host doesn't answer, Order sends the same order to the next one,
// and the change id ensures that it is applied at most once. An OutcomeUnknown
// error means that the order may have been accepted.
func (c *Client) Order(ctx context.Context, name string, body any) (order.Result, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return order.Result{}, cicadapitch.Wrap(err)
	}
	var r order.Result
	err = c.tryHosts(func(host string) error {
		return c.call(ctx, http.MethodPost, host+order.Path+name, b, &r)
	})
	return r, err
}

// Get sends a query to the first host that answers, and decodes its JSON answer
// into out. Path is the path of the query, such as /v1/admin/status.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.tryHosts(func(host string) error { return c.GetFrom(ctx, host, path, out) })
}

// GetFrom sends a query to the host with the given base URL, and decodes its JSON
// answer into out.
func (c *Client) GetFrom(ctx context.Context, host, path string, out any) error {
	return c.call(ctx, http.MethodGet, host+path, nil, out)
}

// tryHosts calls send for the hosts in turn until one succeeds or returns an
// error other than Unavailable and OutcomeUnknown. If no host succeeds and one
// returned OutcomeUnknown, tryHosts returns that error, since the order may have
// been accepted.
func (c *Client) tryHosts(send func(host string) error) error {
	if len(c.hosts) == 0 {
		return cicadapitch.NewError(cicadapitch.Invalid, "no host was named", "name one with --host")
	}
	var unknownOutcome, err error
	for _, h := range c.hosts {
		err = send(h)
		kind := cicadapitch.KindOf(err)
		if kind == cicadapitch.OutcomeUnknown {
			unknownOutcome = err
		}
		if err == nil || (kind != cicadapitch.OutcomeUnknown && kind != cicadapitch.Unavailable) {
			break
		}
	}
	if err != nil && unknownOutcome != nil {
		return unknownOutcome
	}
	return err
}

// call sends one request and decodes its JSON answer into out.
func (c *Client) call(ctx context.Context, method, url string, body []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return cicadapitch.NewError(cicadapitch.Invalid, err.Error(), "name hosts as http://IP-NUMBER:PORT")
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(r)
	if err != nil {
		return noAnswerError(method, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	if err != nil {
		return noAnswerError(method, err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return errorFromResponse(res.StatusCode, b)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return noAnswerError(method, err)
	}
	return nil
}

// noAnswerError returns the error for a call without a readable answer. It is
// Unavailable for a query or a failed dial, which have no effect, and
// OutcomeUnknown for an order that was sent, which may have been accepted.
func noAnswerError(method string, err error) error {
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || dialFailed {
		return cicadapitch.NewError(cicadapitch.Unavailable, err.Error(), "ask another host")
	}
	return cicadapitch.NewError(cicadapitch.OutcomeUnknown, "the order got no answer: "+err.Error(),
		"give it again with the same change id, which applies it once at most")
}

// errorFromResponse returns the error in the body of a response. Without a
// readable error, it derives the kind from the status.
func errorFromResponse(status int, body []byte) error {
	var e entry.APIError
	_ = json.Unmarshal(body, &e)
	kind, err := cicadapitch.KindString(e.Kind)
	switch {
	case err == nil:
		return &cicadapitch.Error{Kind: kind, Reason: e.Reason, Remedy: e.Remedy, RetryAfter: e.RetryAfter}
	case status < http.StatusInternalServerError:
		return cicadapitch.NewError(cicadapitch.Invalid,
			fmt.Sprintf("the host answered %d: %.300s", status, body), "correct the request")
	}
	return cicadapitch.NewError(cicadapitch.OutcomeUnknown,
		fmt.Sprintf("the host answered %d: %.300s", status, body), "ask another host")
}
