package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/booking"
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

	minter    *booking.Minter
	ledger    *booking.Ledger
	forwarder Forwarder
	claims    Claims
	metrics   Metrics
	hedging   bool
	admission bool
	maxInput  cicadapitch.Bytes

	router    *router
	estimates *estimates
	budget    *budget
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
		hedging:        true,
		admission:      true,
		maxInput:       DefaultMaxInput,
		router:         newRouter(owners, clock),
		estimates:      newEstimates(),
		budget:         newBudget(defaultRetryRatio, defaultRetryLimit),
		random:         &random{source: rand.NewPCG(rand.Uint64(), rand.Uint64())},
		gate:           newGate(),
		prefix:         fmt.Sprintf("%s-%x", self.Host, uint64(self.Incarnation)),
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.ledger == nil {
		s.ledger = booking.NewLedger(clock, self.Incarnation)
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
		s.refused(req, err)
		return cicadapitch.Answer{}, err
	}
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
		s.refused(w.req, err)
		return
	}
	s.metrics.Answered(w.req.Customer, w.req.Pipeline, took, took <= w.span)
	for _, r := range a.Stages {
		s.metrics.Stage(w.req.Customer, w.req.Pipeline, r)
	}
}

// refused counts an error. Names that a caller made up are not passed on, so
// that callers cannot add series to the metrics.
func (s *Server) refused(req cicadapitch.Request, err error) {
	if cfg := s.configurations.Current(); cfg != nil {
		if _, ok := cfg.Pipeline(req.Pipeline); !ok {
			req.Pipeline = ""
		}
		if _, ok := cfg.Customer(req.Customer); !ok {
			req.Customer = ""
		}
	}
	s.metrics.Refused(req.Customer, req.Pipeline, cicadapitch.KindOf(err))
}

// nextID returns an id that no other request of any host has. A caller's own
// id is not used, so that two callers can never share one.
func (s *Server) nextID() cicadapitch.RequestID {
	return cicadapitch.RequestID(fmt.Sprintf("%s-%d", s.prefix, s.sequence.Add(1)))
}

// Running returns the number of requests that run now.
func (s *Server) Running() int { return s.gate.count() }
