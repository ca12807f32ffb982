package driver

import "cicadapitch.example/cicadapitch"

// Defaults of the options.
const (
	DefaultDialTimeout = 1 * cicadapitch.Second
	DefaultLoadTimeout = 1 * cicadapitch.Second
	// DefaultMaxOutput bounds the output of one call.
	DefaultMaxOutput cicadapitch.Bytes = 8 << 20
)

// Option sets an option of a driver.
type Option func(*options)

type options struct {
	dialTimeout cicadapitch.Millis
	loadTimeout cicadapitch.Millis
	maxOutput   cicadapitch.Bytes
	clock       cicadapitch.Clock
}

// WithClock sets the clock that measures the time to the first token.
func WithClock(c cicadapitch.Clock) Option {
	return func(o *options) { o.clock = c }
}

func newOptions(opts []Option) options {
	o := options{
		dialTimeout: DefaultDialTimeout,
		loadTimeout: DefaultLoadTimeout,
		maxOutput:   DefaultMaxOutput,
		clock:       cicadapitch.NewSystemClock(),
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
