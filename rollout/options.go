package rollout

import (
	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

const (
	defaultInterval       = 10 * cicadapitch.Second
	defaultRepeatInterval = cicadapitch.Minute
	defaultMinBackoff     = cicadapitch.Second
	defaultMaxBackoff     = cicadapitch.Minute
	// maxDoublings prevents an overflow when the backoff is shifted.
	maxDoublings = 16
	// stepInterval is the time between two steps of Run.
	stepInterval = cicadapitch.Second
)

type options struct {
	interval       cicadapitch.Millis
	repeatInterval cicadapitch.Millis
	minBackoff     cicadapitch.Millis
	maxBackoff     cicadapitch.Millis
	log            zerolog.Logger
}

// Option configures a Rollout.
type Option func(*options)

// WithInterval sets the time in which all owners of a pool together send an order
// to at most one of its engines. It should be the time in which the weight store
// serves a model to one engine. The minimum is one second, the default 10 seconds.
func WithInterval(m cicadapitch.Millis) Option {
	return func(o *options) { o.interval = max(m, stepInterval) }
}

// WithLog sets the logger.
func WithLog(log zerolog.Logger) Option { return func(o *options) { o.log = log } }
