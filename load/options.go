package load

import "cicadapitch.example/cicadapitch/client"

// DefaultMaxInFlight is the default limit of concurrent requests.
const DefaultMaxInFlight = 4096

// Option configures a Generator.
type Option func(*Generator)

// WithMaxInFlight limits the concurrent requests to n. Arrivals above the limit
// are not sent but counted as skipped.
func WithMaxInFlight(n int) Option {
	return func(g *Generator) { g.maxInFlight = n }
}

// WithSender sends all requests through s instead of the client package.
func WithSender(s Sender) Option {
	return func(g *Generator) { g.newSender = func(Caller) Sender { return s } }
}

// WithSeeds sends the requests through the client package, with one client for
// each caller. Seeds are the base URLs of any hosts of the deployment.
func WithSeeds(seeds []string) Option {
	return func(g *Generator) {
		g.newSender = func(c Caller) Sender { return client.New(seeds, c.Key, client.WithZone(c.Zone)) }
	}
}
