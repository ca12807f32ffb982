package keyvalue

import (
	"golang.org/x/time/rate"

	"cicadapitch.example/cicadapitch"
)

// Defaults of the options.
const (
	DefaultTimeout        = 2 * cicadapitch.Second
	DefaultReadsPerSecond = 50
	// DefaultWritesPerSecond bounds one host, not the fleet.
	DefaultWritesPerSecond = 20
)

// Option sets an option of a client.
type Option func(*options)

type options struct {
	timeout       cicadapitch.Millis
	reads, writes *rate.Limiter
}

// WithTimeout bounds each call. Watches are bounded only until they are open.
func WithTimeout(m cicadapitch.Millis) Option {
	return func(o *options) { o.timeout = m }
}

// WithReadBudget bounds the reads a second that this process sends.
func WithReadBudget(perSecond float64, burst int) Option {
	return func(o *options) { o.reads = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithWriteBudget bounds the writes a second that this process sends.
func WithWriteBudget(perSecond float64, burst int) Option {
	return func(o *options) { o.writes = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

func newOptions(opts []Option) options {
	o := options{
		timeout: DefaultTimeout,
		reads:   rate.NewLimiter(DefaultReadsPerSecond, DefaultReadsPerSecond),
		writes:  rate.NewLimiter(DefaultWritesPerSecond, DefaultWritesPerSecond),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
