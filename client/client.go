package client

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/internal/answer"
	"cicadapitch.example/cicadapitch/pipeline"
)

const (
	defaultMaxTimeout   = 30 * cicadapitch.Second
	defaultMaxSends     = 6
	defaultRetryRatio   = 0.2
	defaultRetryLimit   = 20
	dialTimeout         = 2 * time.Second
	maxIdleConnsPerHost = 64
)

// Client sends the requests of one customer. It is safe for concurrent use.
type Client struct {
	key   string
	zone  cicadapitch.ZoneID
	http  *http.Client
	clock cicadapitch.Clock
	// maxTimeout is the longest time that a request may take.
	maxTimeout cicadapitch.Millis
	maxSends   int
	budget     pipeline.SharedRetryBudget
	hosts      *directory
}

// New returns a client that authenticates with the customer's key. Seeds are the
// base URLs of any hosts of the deployment; the client discovers the other hosts
// through them.
func New(seeds []string, key string, opts ...Option) *Client {
	c := &Client{
		key:        key,
		http:       &http.Client{Transport: newTransport()},
		clock:      cicadapitch.NewSystemClock(),
		maxTimeout: defaultMaxTimeout,
		maxSends:   defaultMaxSends,
	}
	c.budget.Set(defaultRetryRatio, defaultRetryLimit)
	for _, opt := range opts {
		opt(c)
	}
	c.hosts = newDirectory(c, seeds)
	return c
}

// Do sends a request, with retries, and returns its complete answer. It passes
// the chunks of streaming stages to sink as they arrive; sink may be nil. The
// earliest of the deadlines of the request, of ctx and of the client applies.
//
// A NotRun error means that nothing ran, DeadlineExceeded that work which may be
// repeated may have run, and OutcomeUnknown that work which may not be repeated may
// have run. Other errors were returned by a host.
func (c *Client) Do(ctx context.Context, req cicadapitch.Request, sink func(cicadapitch.Chunk)) (cicadapitch.Answer, error) {
	timeout := c.timeout(ctx, req)
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	c.budget.Deposit()
	d := &delivery{c: c, req: req, deadline: c.clock.Now().Add(timeout), chunks: newChunkDeduplicator(sink)}
	return d.run(ctx)
}

// timeout returns the time that is left for a request.
func (c *Client) timeout(ctx context.Context, req cicadapitch.Request) cicadapitch.Millis {
	timeout := c.maxTimeout
	if req.Deadline > 0 {
		timeout = min(timeout, req.Deadline)
	}
	if at, ok := ctx.Deadline(); ok {
		timeout = min(timeout, cicadapitch.MillisOf(time.Until(at)))
	}
	return timeout
}

func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.DialContext = answer.CheckDial(newDialer().DialContext)
	t.MaxIdleConnsPerHost = maxIdleConnsPerHost
	return t
}

// withJitter returns m with jitter: a random time between m and 2m.
func withJitter(m cicadapitch.Millis) cicadapitch.Millis {
	return m + cicadapitch.Millis(rand.Int64N(int64(m)+1))
}
