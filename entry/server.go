package entry

import (
	"context"
	"fmt"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
	"cicadapitch.example/cicadapitch/pipeline"
	"github.com/rs/zerolog"
)

const (
	defaultRetryRatio = 0.1
	defaultRetryLimit = 20

	// DefaultMaxInput bounds the input of a request.
	DefaultMaxInput cicadapitch.Bytes = 1 << 20
)

// Server serves requests on their entry host.
type Server struct {
	configurations cicadapitch.Configurations
	members        cicadapitch.Members
	owners         cicadapitch.ShardOwners
	runner         cicadapitch.Runner
	clock          cicadapitch.Clock

	minter    *idempotency.Minter
	ledger    *idempotency.Ledger
	forwarder Forwarder
	claims    Claims
	metrics   Metrics
	log       zerolog.Logger
	maxInput  cicadapitch.Bytes

	router    *router
	peers     *peerCount
	estimates *estimates
	// firsts holds the spans until the first chunk.
	firsts    *estimates
	throttles throttles
	budget    pipeline.SharedRetryBudget
	random    *random
	gate      *gate
	sequence  atomic.Uint64
	prefix    string
}

// NewServer returns a server that runs its attempts by runner on the owners of
// the shards.
func NewServer(
	configurations cicadapitch.Configurations,
	members cicadapitch.Members,
	owners cicadapitch.ShardOwners,
	runner cicadapitch.Runner,
	clock cicadapitch.Clock,
	opts ...Option,
) *Server {
	self := members.Self()
	s := &Server{
		configurations: configurations,
		members:        members,
		owners:         owners,
		runner:         runner,
		clock:          clock,
		forwarder:      NoForwarder{},
		claims:         NoClaims{},
		metrics:        NoMetrics{},
		log:            zerolog.Nop(),
		maxInput:       DefaultMaxInput,
		router:         newRouter(owners, clock),
		peers:          &peerCount{members: members},
		estimates:      newEstimates(),
		firsts:         newEstimates(),
		random:         &random{},
		gate:           newGate(),
		prefix:         fmt.Sprintf("%s-%x", self.Host, uint64(self.Incarnation)),
	}
	s.budget.Set(defaultRetryRatio, defaultRetryLimit)
	for _, opt := range opts {
		opt(s)
	}
	if s.ledger == nil {
		s.ledger = idempotency.NewLedger(clock, self.Incarnation)
	}
	return s
}

// Serve runs one request and returns its whole answer. Chunks of stages that
// stream go to sink as they come; sink is not called after Serve has returned.
// A NotRun error means that no stage of the request has started or will start.
// An OutcomeUnknown error means that work which may not be repeated may have
// run.
func (s *Server) Serve(ctx context.Context, req cicadapitch.Request, sink func(cicadapitch.Chunk)) (cicadapitch.Answer, error) {
	arrived := s.clock.Now()
	out := newOutput(sink)
	defer out.close()
	w, err := s.resolve(req)
	if err != nil {
		s.refused(work{req: req}, 0, err)
		return cicadapitch.Answer{}, err
	}
	w.id = s.nextID()
	w.deadline = arrived.Add(w.span)
	a, err := s.dispatch(ctx, w, out)
	s.report(w, arrived, a, err)
	return a, err
}

func (s *Server) dispatch(ctx context.Context, w work, out *output) (cicadapitch.Answer, error) {
	if w.idempotent {
		return s.serveFresh(ctx, w, out)
	}
	return s.serveOnce(ctx, w, out)
}

// serveFresh runs a request that may be repeated.
func (s *Server) serveFresh(ctx context.Context, w work, out *output) (cicadapitch.Answer, error) {
	if err := s.gate.enter(); err != nil {
		return cicadapitch.Answer{}, err
	}
	defer s.gate.leave()
	return s.run(ctx, w, out)
}

func (s *Server) report(w work, arrived cicadapitch.Instant, a cicadapitch.Answer, err error) {
	took := s.clock.Now().Sub(arrived)
	if err != nil {
		s.refused(w, took, err)
		return
	}
	s.log.Debug().Str("Request", string(w.id)).Str("Customer", string(w.req.Customer)).
		Str("Pipeline", string(w.req.Pipeline)).Int64("Took", int64(took)).Msg("answered")
	s.metrics.Answered(w.req.Customer, w.req.Pipeline, took, took <= w.span)
	for _, r := range a.Stages {
		s.metrics.Stage(w.req.Customer, w.req.Pipeline, r)
	}
}

// refused logs and counts an error. Names that a caller made up are not counted,
// so that callers cannot add series to the metrics.
func (s *Server) refused(w work, took cicadapitch.Millis, err error) {
	kind := cicadapitch.KindOf(err)
	s.log.Info().Str("Request", string(w.id)).Str("Customer", string(w.req.Customer)).
		Str("Pipeline", string(w.req.Pipeline)).Int64("Took", int64(took)).
		Stringer("Kind", kind).Str("Reason", err.Error()).Msg("refused")
	customer, p := w.req.Customer, w.req.Pipeline
	if cfg := s.configurations.Current(); cfg != nil {
		if _, ok := cfg.Pipeline(p); !ok {
			p = ""
		}
		if _, ok := cfg.Customer(customer); !ok {
			customer = ""
		}
	}
	s.metrics.Refused(customer, p, kind)
}

// nextID returns an id that no other request of any host has. A caller's own
// id is not used, so that two callers can never share one.
func (s *Server) nextID() cicadapitch.RequestID {
	return cicadapitch.RequestID(fmt.Sprintf("%s-%d", s.prefix, s.sequence.Add(1)))
}

// Running returns the number of requests that run now.
func (s *Server) Running() int { return s.gate.count() }
