package endpoint

import (
	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

// Option changes an Owner while it is made.
type Option func(*Owner)

// WithPolicy replaces the standard policy.
func WithPolicy(p Policy) Option { return func(o *Owner) { o.policy = p } }

// WithLog sets the logger. The standard one discards everything.
func WithLog(l zerolog.Logger) Option { return func(o *Owner) { o.log = l } }

// WithRetention sets for how long the results and the ids of settled attempts
// are kept.
func WithRetention(result, id cicadapitch.Millis) Option {
	return func(o *Owner) { o.ledger = newLedger(result, id) }
}
