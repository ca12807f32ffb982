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
	"cicadapitch.example/cicadapitch/order"
)

const (
	// callTimeout leaves an order the time to reach the store and every host.
	callTimeout = 2*order.MaxWait + 3*cicadapitch.Second
	// maxBodyBytes bounds an answer.
	maxBodyBytes = 16 << 20
)

// Client talks to the hosts of one deployment with an operator's key.
type Client struct {
	hosts []string
	key   string
	http  *http.Client
}

// Option changes a Client.
type Option func(*Client)

// New returns a client. Hosts are base URLs; the first that answers is used.
func New(hosts []string, key string, opts ...Option) *Client {
	c := &Client{hosts: hosts, key: key, http: &http.Client{Timeout: callTimeout.Duration()}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// NewChangeID mints a change id.
func NewChangeID() cicadapitch.ChangeID {
	return cicadapitch.ChangeID(fmt.Sprintf("%s-%s", time.Now().UTC().Format("20060102T150405"), rand.Text()[:10]))
}

// Order gives an order, whose body carries its change id. Hosts that give no
// answer are passed over: the change id makes it safe to ask the next one.
func (c *Client) Order(ctx context.Context, name string, body any) (order.Result, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return order.Result{}, cicadapitch.Wrap(err)
	}
	var r order.Result
	err = c.each(func(host string) error {
		return c.call(ctx, http.MethodPost, host+order.Path+name, b, &r)
	})
	return r, err
}

// Get makes a query on the first host that answers, such as
// /v1/admin/status, and decodes its answer into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.each(func(host string) error { return c.GetFrom(ctx, host, path, out) })
}

// GetFrom makes a query on one host, which is given by its base URL.
func (c *Client) GetFrom(ctx context.Context, host, path string, out any) error {
	return c.call(ctx, http.MethodGet, host+path, nil, out)
}

// each asks the hosts in turn until one settles the matter. Where one left the
// outcome unknown, only a success of another settles it.
func (c *Client) each(ask func(host string) error) error {
	if len(c.hosts) == 0 {
		return cicadapitch.NewError(cicadapitch.Invalid, "no host was named", "name one with --host")
	}
	var unsettled, err error
	for _, h := range c.hosts {
		err = ask(h)
		kind := cicadapitch.KindOf(err)
		if kind == cicadapitch.OutcomeUnknown {
			unsettled = err
		}
		if err == nil || (kind != cicadapitch.OutcomeUnknown && kind != cicadapitch.Unavailable) {
			break
		}
	}
	if err != nil && unsettled != nil {
		return unsettled
	}
	return err
}

func (c *Client) call(ctx context.Context, method, url string, body []byte, out any) error {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return cicadapitch.NewError(cicadapitch.Invalid, err.Error(), "name hosts as http://IP-NUMBER:PORT")
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(r)
	if err != nil {
		return unanswered(method, err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return unanswered(method, err)
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return typed(res.StatusCode, b)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return unanswered(method, err)
	}
	return nil
}

// unanswered says what a missing answer means: a query or a refused connection
// had no effect, an order that was sent may have been accepted.
func unanswered(method string, err error) error {
	var op *net.OpError
	dialled := errors.As(err, &op) && op.Op == "dial"
	if method == http.MethodGet || dialled {
		return cicadapitch.NewError(cicadapitch.Unavailable, err.Error(), "ask another host")
	}
	return cicadapitch.NewError(cicadapitch.OutcomeUnknown, "the order got no answer: "+err.Error(),
		"give it again with the same change id, which applies it once at most")
}

// typed reads the error of a host.
func typed(status int, body []byte) error {
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
