package driver

import "cicadapitch.example/cicadapitch"

const (
	// DefaultDialTimeout bounds connecting to an endpoint.
	DefaultDialTimeout = 1 * cicadapitch.Second
	// DefaultControlTimeout bounds Load and Order.
	DefaultControlTimeout = 1 * cicadapitch.Second
	// DefaultMaxOutput bounds the response body of Call in bytes.
	DefaultMaxOutput cicadapitch.Bytes = 8 << 20
)

// Option configures an Engine or a Service.
type Option func(*options)

type options struct {
	dialTimeout    cicadapitch.Millis
	controlTimeout cicadapitch.Millis
	maxOutput      cicadapitch.Bytes
	clock          cicadapitch.Clock
}

// WithClock sets the clock that measures the time to the first token. The
// default is the system clock.
func WithClock(c cicadapitch.Clock) Option {
	return func(o *options) { o.clock = c }
}

func newOptions(opts []Option) options {
	o := options{
		dialTimeout:    DefaultDialTimeout,
		controlTimeout: DefaultControlTimeout,
		maxOutput:      DefaultMaxOutput,
		clock:          cicadapitch.NewSystemClock(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
