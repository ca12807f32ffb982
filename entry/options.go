package entry

import (
	"math/rand/v2"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
	"github.com/rs/zerolog"
)

// Option changes a Server.
type Option func(*Server)

// WithMinter sets the minter of this host's tokens. Without one, pipelines
// with a stage that is not idempotent take idempotency keys only.
func WithMinter(m *idempotency.Minter) Option { return func(s *Server) { s.minter = m } }

// WithLedger sets the ledger of this host's incarnation.
func WithLedger(l *idempotency.Ledger) Option { return func(s *Server) { s.ledger = l } }

// WithForwarder sets the way to the other hosts, for tokens that they minted.
func WithForwarder(f Forwarder) Option { return func(s *Server) { s.forwarder = f } }

// WithClaims sets the claims on callers' own idempotency keys.
func WithClaims(c Claims) Option { return func(s *Server) { s.claims = c } }

// WithMetrics sets the receiver of measurements.
func WithMetrics(m Metrics) Option { return func(s *Server) { s.metrics = m } }

// WithLog sets the log. Answers are logged at debug level, errors at info.
func WithLog(l zerolog.Logger) Option { return func(s *Server) { s.log = l } }

// WithRetryBudget bounds retries and hedges to a ratio of the requests, with
// limit of them saved up at most.
func WithRetryBudget(ratio, limit float64) Option {
	return func(s *Server) { s.budget.Set(ratio, limit) }
}

// WithSeed seeds the random numbers of choices and backoff.
func WithSeed(seed uint64) Option {
	return func(s *Server) { s.random.source = rand.NewPCG(seed, seed) }
}

// WithMaxInput bounds the input of a request.
func WithMaxInput(n cicadapitch.Bytes) Option { return func(s *Server) { s.maxInput = n } }
