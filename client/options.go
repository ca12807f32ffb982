package client

import (
	"net/http"

	"cicadapitch.example/cicadapitch"
)

// Option changes a Client.
type Option func(*Client)

// WithZone names the availability zone of the caller, whose hosts come first.
func WithZone(zone cicadapitch.ZoneID) Option { return func(c *Client) { c.zone = zone } }

// WithHTTPClient sets the HTTP client.
func WithHTTPClient(h *http.Client) Option { return func(c *Client) { c.http = h } }

// WithClock sets the clock.
func WithClock(clock cicadapitch.Clock) Option { return func(c *Client) { c.clock = clock } }

// WithDeadline sets the deadline of requests that name none.
func WithDeadline(m cicadapitch.Millis) Option { return func(c *Client) { c.deadline = m } }

// WithMaxSends bounds how often one request is sent.
func WithMaxSends(n int) Option { return func(c *Client) { c.maxSends = n } }

// WithRetryBudget bounds repeated sendings to a ratio of the requests, with
// limit of them saved up at most.
func WithRetryBudget(ratio, limit float64) Option {
	return func(c *Client) { c.budget.Set(ratio, limit) }
}
