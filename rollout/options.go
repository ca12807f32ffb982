package rollout

import (
	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

const (
	defaultInterval   = 10 * cicadapitch.Second
	defaultRepeat     = cicadapitch.Minute
	defaultBackoff    = cicadapitch.Second
	defaultMaxBackoff = cicadapitch.Minute
	// maxDoublings keeps the shift of the backoff in range.
	maxDoublings = 16
	tickInterval = cicadapitch.Second
)

type options struct {
	interval   cicadapitch.Millis
	repeat     cicadapitch.Millis
	backoff    cicadapitch.Millis
	maxBackoff cicadapitch.Millis
	log        zerolog.Logger
}

// Option changes a Rollout.
type Option func(*options)

// WithInterval sets the time that the weight store needs for one load. All
// owners together order one engine of each pool in that time, which is a second
// at least.
func WithInterval(m cicadapitch.Millis) Option {
	return func(o *options) { o.interval = max(m, tickInterval) }
}

// WithLog sets the logger.
func WithLog(log zerolog.Logger) Option { return func(o *options) { o.log = log } }
