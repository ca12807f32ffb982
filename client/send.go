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

var errMalformedError = errors.New("the host's error response is malformed")

// maxErrorBytes bounds the body of an error response.
const maxErrorBytes = 64 << 10

func (c *Client) authorize(r *http.Request) {
	if c.key != "" {
		r.Header.Set("Authorization", "Bearer "+c.key)
	}
}

// sendResult is the result of sending a request once.
type sendResult struct {
	answer cicadapitch.Answer
	err    error
	// sent is false if no byte of the request can have reached the host.
	sent bool
	// fromHost is true if the host itself returned the answer or the error.
	fromHost bool
}

// send sends a request once, to the host with the base URL. It passes streamed
// chunks to sink.
func (c *Client) send(ctx context.Context, base string, b entry.RequestBody, sink func(entry.ChunkBody)) sendResult {
	ctx, connected := traceConnection(ctx)
	r, err := c.newRequest(ctx, base, b)
	if err != nil {
		return sendResult{err: err}
	}
	res, err := c.http.Do(r)
	if err != nil {
		return sendResult{err: err, sent: connected.Load()}
	}
	defer res.Body.Close()
	var out sendResult
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		out = readEvents(res.Body, sink)
	} else {
		out = readError(io.LimitReader(res.Body, maxErrorBytes))
	}
	out.sent = true
	return out
}

// newRequest returns the HTTP request for a request body.
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

// readError reads the body of an error response. The result has an error but no
// answer.
func readError(body io.Reader) sendResult {
	var e entry.APIError
	if err := json.NewDecoder(body).Decode(&e); err != nil || e.Kind == "" {
		return sendResult{err: errMalformedError}
	}
	return sendResult{err: errorFromBody(e), fromHost: true}
}

// errorFromBody converts the body of an error. An unknown kind becomes
// OutcomeUnknown, since it doesn't tell whether the request ran.
func errorFromBody(e entry.APIError) error {
	kind, err := cicadapitch.KindString(e.Kind)
	if err != nil {
		kind = cicadapitch.OutcomeUnknown
	}
	return &cicadapitch.Error{Kind: kind, Reason: e.Reason, Remedy: e.Remedy, RetryAfter: e.RetryAfter}
}
