package entry

import (
	"math/rand/v2"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
	"github.com/rs/zerolog"
)

// Option configures a Server.
type Option func(*Server)

// WithMinter sets the minter of this host's tokens. Without one, requests
// to pipelines that may not be repeated need an idempotency key.
func WithMinter(m *idempotency.Minter) Option { return func(s *Server) { s.minter = m } }

// WithLedger sets the ledger of the requests that run at most once. It must belong
// to this host's incarnation. The default is a new ledger.
func WithLedger(l *idempotency.Ledger) Option { return func(s *Server) { s.ledger = l } }

// WithForwarder sets the forwarder of requests that only another host may run. The
// default reaches no other host.
func WithForwarder(f Forwarder) Option { return func(s *Server) { s.forwarder = f } }

// WithKeyClaimer sets the claimer of callers' own idempotency keys. The default
// refuses these keys.
func WithKeyClaimer(c KeyClaimer) Option { return func(s *Server) { s.keyClaimer = c } }

// WithMetrics sets the receiver of measurements. The default discards them.
func WithMetrics(m Metrics) Option { return func(s *Server) { s.metrics = m } }

// WithLog sets the logger. Answered requests are logged at debug level, failed ones
// at info level. The default logs nothing.
func WithLog(l zerolog.Logger) Option { return func(s *Server) { s.log = l } }

// WithRetryBudget limits retries and hedges to the given ratio of the requests. Up
// to limit unused ones are saved for later.
func WithRetryBudget(ratio, limit float64) Option {
	return func(s *Server) { s.budget.Set(ratio, limit) }
}

// WithSeed seeds the random numbers for shard choices and backoff.
func WithSeed(seed uint64) Option {
	return func(s *Server) { s.random.source = rand.NewPCG(seed, seed) }
}

// WithMaxInput sets the maximum size of the input of a request in bytes. The default
// is DefaultMaxInput.
func WithMaxInput(n cicadapitch.Bytes) Option { return func(s *Server) { s.maxInput = n } }
