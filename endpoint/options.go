package endpoint

import (
	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/quarantine"
)

// Option configures an Owner.
type Option func(*Owner)

// WithPolicy sets the scheduling policy. The default is StandardPolicy.
func WithPolicy(p Policy) Option { return func(o *Owner) { o.policy = p } }

// WithLog sets the logger. The default discards everything.
func WithLog(l zerolog.Logger) Option { return func(o *Owner) { o.log = l } }

// WithQuarantine sets the ledger of prefixes that crash endpoints, which the host shares
// with others, and the function that tells them of new crashes. It must not block. The
// default is a ledger of the owner's own.
func WithQuarantine(l *quarantine.Ledger, tell func([]quarantine.Report)) Option {
	return func(o *Owner) { o.guard.ledger, o.guard.tell = l, tell }
}

// WithRetention sets how long the result and the id of a completed attempt are
// kept, both counted from its completion. The default is 30 seconds for results
// and 5 minutes for ids.
func WithRetention(result, id cicadapitch.Millis) Option {
	return func(o *Owner) { o.ledger = newLedger(result, id) }
}
