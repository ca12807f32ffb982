package endpoint

import (
	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

// Option configures an Owner.
type Option func(*Owner)

// WithPolicy sets the scheduling policy. The default is StandardPolicy.
func WithPolicy(p Policy) Option { return func(o *Owner) { o.policy = p } }

// WithLog sets the logger. The default discards everything.
func WithLog(l zerolog.Logger) Option { return func(o *Owner) { o.log = l } }

// WithRetention sets how long the result and the id of a completed attempt are
// kept, both counted from its completion. The default is 30 seconds for results
// and 5 minutes for ids.
func WithRetention(result, id cicadapitch.Millis) Option {
	return func(o *Owner) { o.ledger = newLedger(result, id) }
}
