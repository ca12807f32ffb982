package load

import "cicadapitch.example/cicadapitch/client"

// DefaultMaxInFlight bounds the requests that run at the same time.
const DefaultMaxInFlight = 4096

// Option changes a Generator.
type Option func(*Generator)

// WithMaxInFlight bounds the requests that run at the same time. Arrivals above
// the bound are skipped and counted.
func WithMaxInFlight(n int) Option {
	return func(g *Generator) { g.maxInFlight = n }
}

// WithSender sends all requests through s in place of the client.
func WithSender(s Sender) Option {
	return func(g *Generator) { g.senderOf = func(Caller) Sender { return s } }
}

// WithSeeds sends the requests through the client of package client, which
// finds the hosts through any of the seeds.
func WithSeeds(seeds []string) Option {
	return func(g *Generator) {
		g.senderOf = func(c Caller) Sender { return client.New(seeds, c.Key, client.WithZone(c.Zone)) }
	}
}
