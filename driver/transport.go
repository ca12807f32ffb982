package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch"
)

const (
	maxSmallAnswer = 1 << 20
	// idleTimeout is short, since a connection that something on the way has
	// lost track of turns the next call into one with an unknown outcome.
	idleTimeout = 10 * time.Second
	// Keep-alive probes find a silent connection within
	// keepAliveIdle + keepAliveCount*keepAliveInterval.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
	defaultRetryMs    = 200 * cicadapitch.Millis(1)
)

// transport makes calls of which it can tell whether a byte was written.
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
			return &sealableConn{Conn: c}, nil
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

// sending watches the connection that one request is written to.
type sending struct {
	mu    sync.Mutex
	conn  *sealableConn
	since int64
	other bool
}

func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
}

func (s *sending) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := info.Conn.(*sealableConn)
	if !ok || s.conn != nil {
		s.other = true
		return
	}
	s.conn, s.since = c, c.position()
}

// nothingWritten returns whether no byte was written and none ever will be.
func (s *sending) nothingWritten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.other {
		return false
	}
	return s.conn == nil || s.conn.seal(s.since)
}

// post sends a body to an endpoint and returns an answer of status 200.
func (t transport) post(ctx context.Context, c cicadapitch.Call, path string, body any) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	var s sending
	// The wrapped reader hides GetBody, so the transport never sends it twice.
	r, err := http.NewRequestWithContext(s.trace(ctx), http.MethodPost, c.Endpoint.Address+path, io.NopCloser(bytes.NewReader(b)))
	if err != nil {
		return nil, cicadapitch.NewNotRun("the address of endpoint "+string(c.Endpoint.ID)+" is not a URL", defaultRetryMs)
	}
	r.ContentLength = int64(len(b))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(HeaderAttempt, c.Attempt.String())
	r.Header.Set(HeaderCustomer, string(c.Customer))
	r.Header.Set(HeaderFencing, strconv.FormatInt(int64(c.Fencing), 10))
	w, err := t.client.Do(r)
	if err != nil && s.nothingWritten() {
		return nil, cicadapitch.NewNotRun("no byte was written to endpoint "+string(c.Endpoint.ID)+": "+err.Error(), defaultRetryMs)
	}
	if err != nil {
		return nil, lost(c.Endpoint, err.Error())
	}
	if w.StatusCode != http.StatusOK {
		defer w.Body.Close()
		return nil, refusal(c.Endpoint, w)
	}
	return w, nil
}

func lost(e cicadapitch.Endpoint, reason string) error {
	return cicadapitch.NewOutcomeUnknown("endpoint " + string(e.ID) + ": " + reason)
}

// refusal maps an answer with an error status. Only the endpoint's own
// statement makes it NotRun.
func refusal(e cicadapitch.Endpoint, w *http.Response) error {
	var body struct{ NotRun bool }
	_ = json.NewDecoder(io.LimitReader(w.Body, maxSmallAnswer)).Decode(&body)
	refused := w.StatusCode == http.StatusServiceUnavailable || w.StatusCode == http.StatusTooManyRequests
	stated := w.Header.Get(HeaderNotRun) == "true" || body.NotRun
	if refused && stated {
		return cicadapitch.NewNotRun("endpoint "+string(e.ID)+" did not start the call", retryAfter(w))
	}
	return lost(e, "answered "+w.Status)
}

func retryAfter(w *http.Response) cicadapitch.Millis {
	seconds, err := strconv.ParseInt(w.Header.Get("Retry-After"), 10, 32)
	if err != nil || seconds <= 0 {
		return defaultRetryMs
	}
	return cicadapitch.Millis(seconds) * cicadapitch.Second
}

// Load reads the load report of an endpoint.
func (t transport) Load(ctx context.Context, e cicadapitch.Endpoint) (cicadapitch.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.loadTimeout.Duration())
	defer cancel()
	var report cicadapitch.LoadReport
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, e.Address+"/load", nil)
	if err != nil {
		return report, cicadapitch.Wrap(err)
	}
	w, err := t.client.Do(r)
	if err != nil {
		return report, unreadable(e, err.Error())
	}
	defer w.Body.Close()
	if w.StatusCode != http.StatusOK {
		return report, unreadable(e, "answered "+w.Status)
	}
	if err := json.NewDecoder(io.LimitReader(w.Body, maxSmallAnswer)).Decode(&report); err != nil {
		return report, unreadable(e, err.Error())
	}
	return report, nil
}

func unreadable(e cicadapitch.Endpoint, reason string) error {
	return cicadapitch.NewError(cicadapitch.Unavailable, "load of endpoint "+string(e.ID)+": "+reason, "go on with the last report")
}

// Order gives an order to an endpoint.
func (t transport) Order(ctx context.Context, e cicadapitch.Endpoint, o cicadapitch.EndpointOrder) error {
	ctx, cancel := context.WithTimeout(ctx, t.opts.loadTimeout.Duration())
	defer cancel()
	w, err := t.post(ctx, cicadapitch.Call{Endpoint: e, Fencing: o.Fencing}, "/orders", o)
	if err != nil {
		return err
	}
	return w.Body.Close()
}
