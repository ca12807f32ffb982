package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
)

var errNotTyped = errors.New("the host's error is not a typed one")

// maxErrorBytes bounds the body of an error.
const maxErrorBytes = 64 << 10

func (c *Client) authorize(r *http.Request) {
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
}

// reply is how one sending of a request ended.
type reply struct {
	answer cicadapitch.Answer
	err    error
	// sent is false where not one byte can have reached the host.
	sent bool
	// heard is true where answer or err is what the host itself said.
	heard bool
}

// send sends a request to one host once.
func (c *Client) send(ctx context.Context, base string, b entry.RequestBody, sink func(entry.ChunkBody)) reply {
	ctx, connected := traceConnection(ctx)
	r, err := c.newRequest(ctx, base, b)
	if err != nil {
		return reply{err: err}
	}
	res, err := c.http.Do(r)
	if err != nil {
		return reply{err: err, sent: connected.Load()}
	}
	defer res.Body.Close()
	var out reply
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		out = readEvents(res.Body, sink)
	} else {
		out = readError(io.LimitReader(res.Body, maxErrorBytes))
	}
	out.sent = true
	return out
}

func (c *Client) newRequest(ctx context.Context, base string, b entry.RequestBody) (*http.Request, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/requests", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	c.authorize(r)
	return r, nil
}

// readError reads the typed error of a host.
func readError(body io.Reader) reply {
	var e entry.APIError
	if err := json.NewDecoder(body).Decode(&e); err != nil || e.Kind == "" {
		return reply{err: errNotTyped}
	}
	return reply{err: typed(e), heard: true}
}

func typed(e entry.APIError) error {
	kind, err := cicadapitch.KindString(e.Kind)
	if err != nil {
		kind = cicadapitch.OutcomeUnknown
	}
	return &cicadapitch.Error{Kind: kind, Reason: e.Reason, Remedy: e.Remedy, RetryAfter: e.RetryAfter}
}
