package client

import (
	"net/http"

	"cicadapitch.example/cicadapitch"
)

// Option configures a Client.
type Option func(*Client)

// WithZone sets the availability zone of the caller. Hosts in this zone are
// preferred.
func WithZone(zone cicadapitch.ZoneID) Option { return func(c *Client) { c.zone = zone } }

// WithHTTPClient sets the HTTP client. A Timeout of h also ends streams. The
// default has no Timeout, dials with TCP keep-alive probes and uses no proxy.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithClock sets the clock. The default is the system clock.
func WithClock(clock cicadapitch.Clock) Option { return func(c *Client) { c.clock = clock } }

// WithDeadline sets the longest time in milliseconds that a request may take.
// The default is 30 seconds.
func WithDeadline(m cicadapitch.Millis) Option { return func(c *Client) { c.maxTimeout = m } }

// WithMaxSends sets how often one request is sent at most, retries included. The
// default is 6.
func WithMaxSends(n int) Option { return func(c *Client) { c.maxSends = n } }

// WithRetryBudget bounds the retries to a ratio of the requests. Unused retries
// accumulate up to limit. The defaults are 0.2 and 20.
func WithRetryBudget(ratio, limit float64) Option {
	return func(c *Client) { c.budget.Set(ratio, limit) }
}
