package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/internal/answer"
)

const (
	// maxSmallBodyBytes bounds load reports and the bodies of error answers.
	maxSmallBodyBytes = 1 << 20
	// idleTimeout is short because a middlebox may silently drop an idle
	// connection; the next call on it would end with an unknown outcome.
	idleTimeout = 10 * time.Second
	// TCP keep-alive closes a dead connection within
	// keepAliveIdle + keepAliveCount*keepAliveInterval.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
	// defaultRetryAfter is the RetryAfter of a NotRun error if the endpoint
	// states none.
	defaultRetryAfter = 200 * cicadapitch.Millis(1)
)

// transport sends HTTP requests to endpoints. For each failed call it determines
// whether any byte of the request was written to a connection.
type transport struct {
	client *http.Client
	opts   options
}

func newTransport(opts []Option) transport {
	o := newOptions(opts)
	d := net.Dialer{
		Timeout: o.dialTimeout.Duration(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
	}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &sealableConn{Conn: answer.NewConn(c)}, nil
		},
		MaxIdleConnsPerHost:    64,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: 64 << 10,
		DisableCompression:     true,
	}
	client := &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return transport{client: client, opts: o}
}

// writeTracker records the connection of one request and how many bytes were
// written to it before the request.
type writeTracker struct {
	mu          sync.Mutex
	conn        *sealableConn
	startOffset int64
	// untracked is true if the request may have been written to a connection
	// other than conn.
	untracked bool
}

// withTrace returns a context whose HTTP request reports its connection to t.
func (t *writeTracker) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

// gotConn records the connection that the request got. A second one, or one of
// another type, makes the request untracked.
func (t *writeTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := info.Conn.(*sealableConn)
	if !ok || t.conn != nil {
		t.untracked = true
		return
	}
	t.conn, t.startOffset = c, c.writtenBytes()
}

// sealUnwritten seals the request's connection if no byte of the request has been
// written, and reports whether none ever will be.
func (t *writeTracker) sealUnwritten() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.untracked {
		return false
	}
	return t.conn == nil || t.conn.sealIfUnwritten(t.startOffset)
}

// retireConn closes the request's connection. An answer that does not name its call, such as a
// refusal, could come again and be taken for that to a later one.
func (t *writeTracker) retireConn() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.retire()
	}
}

// post sends body as JSON to an endpoint and returns the answer if its status is
// 200; the caller closes the answer's body. The error is NotRun if no byte was
// written or the endpoint stated that it did not start the call, and
// OutcomeUnknown after any other failure of the call.
func (t transport) post(ctx context.Context, c cicadapitch.Call, path string, body any) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	var tracker writeTracker
	// NopCloser hides the reader's type, so that net/http sets no GetBody and
	// can't resend the body.
	req, err := http.NewRequestWithContext(tracker.withTrace(ctx), http.MethodPost, c.Endpoint.Address+path, io.NopCloser(bytes.NewReader(b)))
	if err != nil {
		return nil, cicadapitch.NewNotRun("the address of endpoint "+string(c.Endpoint.ID)+" is not a URL", defaultRetryAfter)
	}
	req.ContentLength = int64(len(b))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderAttempt, c.Attempt.String())
	req.Header.Set(HeaderCustomer, string(c.Customer))
	req.Header.Set(HeaderFencing, strconv.FormatInt(int64(c.Fencing), 10))
	resp, err := t.client.Do(req)
	if err != nil && tracker.sealUnwritten() {
		return nil, cicadapitch.NewNotRun("no byte was written to endpoint "+string(c.Endpoint.ID)+": "+err.Error(), defaultRetryAfter)
	}
	if err != nil {
		return nil, outcomeUnknown(c.Endpoint, err.Error())
	}
	if resp.StatusCode != http.StatusOK {
		defer tracker.retireConn()
		defer resp.Body.Close()
		return nil, statusError(c.Endpoint, resp)
	}
	return resp, nil
}

// outcomeUnknown returns the error of a call that the endpoint may have run.
func outcomeUnknown(e cicadapitch.Endpoint, reason string) error {
	return cicadapitch.NewOutcomeUnknown("endpoint " + string(e.ID) + ": " + reason)
}

// statusError converts an answer with a status other than 200 to an error. The
// error is NotRun only for status 503 or 429 with the endpoint's statement that
// it did not start the call, in HeaderNotRun or the body, and OutcomeUnknown
// otherwise.
func statusError(e cicadapitch.Endpoint, resp *http.Response) error {
	var body struct{ NotRun bool }
	_ = json.NewDecoder(io.LimitReader(resp.Body, maxSmallBodyBytes)).Decode(&body)
	refusalStatus := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests
	notStarted := resp.Header.Get(HeaderNotRun) == "true" || body.NotRun
	if refusalStatus && notStarted {
		return cicadapitch.NewNotRun("endpoint "+string(e.ID)+" did not start the call", retryAfter(resp))
	}
	return outcomeUnknown(e, "answered "+resp.Status)
}

// retryAfter returns the delay that an answer's Retry-After header states in
// seconds, or defaultRetryAfter if the header states no positive number.
func retryAfter(resp *http.Response) cicadapitch.Millis {
	seconds, err := strconv.ParseInt(resp.Header.Get("Retry-After"), 10, 32)
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return cicadapitch.Millis(seconds) * cicadapitch.Second
}

// Load implements cicadapitch.Driver. Its error is of kind Unavailable if the
// endpoint does not answer with a valid load report in time.
func (t transport) Load(ctx context.Context, e cicadapitch.Endpoint) (cicadapitch.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.controlTimeout.Duration())
	defer cancel()
	var report cicadapitch.LoadReport
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.Address+"/load", nil)
	if err != nil {
		return report, cicadapitch.Wrap(err)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return report, loadError(e, err.Error())
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, loadError(e, "answered "+resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxSmallBodyBytes)).Decode(&report); err != nil {
		return report, loadError(e, err.Error())
	}
	return report, nil
}

// Ended reports whether the endpoint's process has ended: its address refuses connections.
// It reports false if the connection attempt has no result in time.
func (t transport) Ended(ctx context.Context, e cicadapitch.Endpoint) bool {
	u, err := url.Parse(e.Address)
	if err != nil {
		return false
	}
	d := net.Dialer{Timeout: t.opts.dialTimeout.Duration()}
	c, err := d.DialContext(ctx, "tcp", u.Host)
	if err == nil {
		c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// loadError returns the error of a load report that could not be read.
func loadError(e cicadapitch.Endpoint, reason string) error {
	return cicadapitch.NewError(cicadapitch.Unavailable, "load of endpoint "+string(e.ID)+": "+reason, "go on with the last report")
}

// Order implements cicadapitch.Driver. Its error is NotRun if the order did not
// reach the endpoint or was not started, and OutcomeUnknown after any other
// failure.
func (t transport) Order(ctx context.Context, e cicadapitch.Endpoint, o cicadapitch.EndpointOrder) error {
	ctx, cancel := context.WithTimeout(ctx, t.opts.controlTimeout.Duration())
	defer cancel()
	resp, err := t.post(ctx, cicadapitch.Call{Endpoint: e, Fencing: o.Fencing}, "/orders", o)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
