package client

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

const (
	defaultDeadline = 30 * cicadapitch.Second
	defaultMaxSends = 6
	defaultRatio    = 0.2
	defaultLimit    = 20
	dialTimeout     = 2 * time.Second
	idleConnections = 64
)

// Client sends requests of one customer. It is safe for concurrent use.
type Client struct {
	key      string
	zone     cicadapitch.ZoneID
	http     *http.Client
	clock    cicadapitch.Clock
	deadline cicadapitch.Millis
	maxSends int
	budget   pipeline.SharedRetryBudget
	hosts    *directory
}

// New returns a client that finds the hosts through any of the seeds, which are
// base URLs, and proves itself with the customer's key.
func New(seeds []string, key string, opts ...Option) *Client {
	c := &Client{
		key:      key,
		http:     &http.Client{Transport: newTransport()},
		clock:    cicadapitch.NewSystemClock(),
		deadline: defaultDeadline,
		maxSends: defaultMaxSends,
	}
	c.budget.Set(defaultRatio, defaultLimit)
	for _, opt := range opts {
		opt(c)
	}
	c.hosts = newDirectory(c, seeds)
	return c
}

// Do sends a request and returns its whole answer. Chunks of stages that stream
// go to sink as they come. The deadline is that of the request, of ctx and of
// the client, whichever is the earliest. An OutcomeUnknown error means that
// work which may not be repeated may have run.
func (c *Client) Do(ctx context.Context, req cicadapitch.Request, sink func(cicadapitch.Chunk)) (cicadapitch.Answer, error) {
	span := c.span(ctx, req)
	ctx, cancel := context.WithTimeout(ctx, span.Duration())
	defer cancel()
	c.budget.Deposit()
	d := &delivery{c: c, req: req, deadline: c.clock.Now().Add(span), stream: newStream(sink)}
	return d.run(ctx)
}

func (c *Client) span(ctx context.Context, req cicadapitch.Request) cicadapitch.Millis {
	span := c.deadline
	if req.Deadline > 0 {
		span = min(span, req.Deadline)
	}
	if at, ok := ctx.Deadline(); ok {
		span = min(span, cicadapitch.MillisOf(time.Until(at)))
	}
	return span
}

func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.DialContext = newDialer().DialContext
	t.MaxIdleConnsPerHost = idleConnections
	return t
}

// jitter returns a span between m and twice m.
func jitter(m cicadapitch.Millis) cicadapitch.Millis {
	return m + cicadapitch.Millis(rand.Int64N(int64(m)+1))
}
