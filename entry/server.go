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
	// defaultRetryRatio and defaultRetryLimit are the default retry budget; see
	// WithRetryBudget.
	defaultRetryRatio = 0.1
	defaultRetryLimit = 20

	// DefaultMaxInput is the default maximum size of the input of a request.
	DefaultMaxInput cicadapitch.Bytes = 1 << 20
)

// Server serves requests on their entry host.
type Server struct {
	configurations cicadapitch.ConfigurationSource
	members        cicadapitch.Members
	owners         cicadapitch.ShardOwners
	runner         cicadapitch.AttemptRunner
	clock          cicadapitch.Clock

	minter     *idempotency.Minter
	ledger     *idempotency.Ledger
	forwarder  Forwarder
	keyClaimer KeyClaimer
	metrics    Metrics
	log        zerolog.Logger
	maxInput   cicadapitch.Bytes

	shards *shardTable
	hosts  *hostCounter
	// serviceTimes holds the service times of the stages.
	serviceTimes *durationEstimates
	// firstChunkTimes holds the times from sending an attempt to its first chunk.
	firstChunkTimes *durationEstimates
	throttles       throttles
	// budget is the retry budget of all requests.
	budget  pipeline.SharedRetryBudget
	random  *random
	running *runningRequests
	// givenUp ends with GiveUp, which calls giveUp.
	givenUp  context.Context
	giveUp   context.CancelFunc
	sequence atomic.Uint64
	idPrefix string
}

// NewServer returns a server that has runner run the attempts on the hosts that
// own the shards.
func NewServer(
	configurations cicadapitch.ConfigurationSource,
	members cicadapitch.Members,
	owners cicadapitch.ShardOwners,
	runner cicadapitch.AttemptRunner,
	clock cicadapitch.Clock,
	opts ...Option,
) *Server {
	self := members.Self()
	s := &Server{
		configurations:  configurations,
		members:         members,
		owners:          owners,
		runner:          runner,
		clock:           clock,
		forwarder:       NoForwarder{},
		keyClaimer:      NoKeyClaimer{},
		metrics:         NoMetrics{},
		log:             zerolog.Nop(),
		maxInput:        DefaultMaxInput,
		shards:          newShardTable(owners, clock),
		hosts:           &hostCounter{members: members},
		serviceTimes:    newDurationEstimates(),
		firstChunkTimes: newDurationEstimates(),
		random:          &random{},
		running:         newRunningRequests(),
		idPrefix:        fmt.Sprintf("%s-%x", self.Host, uint64(self.Incarnation)),
	}
	s.givenUp, s.giveUp = context.WithCancel(context.Background())
	s.budget.Set(defaultRetryRatio, defaultRetryLimit)
	for _, opt := range opts {
		opt(s)
	}
	if s.ledger == nil {
		s.ledger = idempotency.NewLedger(clock, self.Incarnation)
	}
	return s
}

// Serve runs one request and returns its whole answer. It passes the chunks of
// streaming stages to sink as they arrive, and never calls sink after it has
// returned. A nil sink receives no chunks. A NotRun error means that no stage of
// the request has started or will start. An OutcomeUnknown error means that work
// that may not be repeated may have run.
func (s *Server) Serve(ctx context.Context, req cicadapitch.Request, sink func(cicadapitch.Chunk)) (cicadapitch.Answer, error) {
	arrived := s.clock.Now()
	chunks := newChunkSink(sink)
	defer chunks.close()
	rr, err := s.resolve(req)
	if err != nil {
		s.reportError(resolvedRequest{req: req}, 0, err)
		return cicadapitch.Answer{}, err
	}
	rr.id = s.nextID()
	rr.deadline = arrived.Add(rr.timeLimit)
	a, err := s.serveResolved(ctx, rr, chunks)
	s.report(rr, arrived, a, err)
	return a, err
}

// serveResolved serves a request that resolve has checked.
func (s *Server) serveResolved(ctx context.Context, rr resolvedRequest, chunks *chunkSink) (cicadapitch.Answer, error) {
	if rr.idempotent {
		return s.serveIdempotent(ctx, rr, chunks)
	}
	return s.serveNonIdempotent(ctx, rr, chunks)
}

// serveIdempotent runs a request that may be repeated.
func (s *Server) serveIdempotent(ctx context.Context, rr resolvedRequest, chunks *chunkSink) (cicadapitch.Answer, error) {
	if err := s.running.begin(rr.deadline); err != nil {
		return cicadapitch.Answer{}, err
	}
	defer s.running.end()
	return s.runStages(ctx, rr, chunks)
}

// report logs and counts the end of a request. The log key Took is in milliseconds.
func (s *Server) report(rr resolvedRequest, arrived cicadapitch.Instant, a cicadapitch.Answer, err error) {
	took := s.clock.Now().Sub(arrived)
	if err != nil {
		s.reportError(rr, took, err)
		return
	}
	s.log.Debug().Str("Request", string(rr.id)).Str("Customer", string(rr.req.Customer)).
		Str("Pipeline", string(rr.req.Pipeline)).Int64("Took", int64(took)).Msg("answered")
	s.metrics.Answered(rr.req.Customer, rr.req.Pipeline, took, took <= rr.timeLimit)
	for _, r := range a.Stages {
		s.metrics.Stage(rr.req.Customer, rr.req.Pipeline, r)
	}
}

// reportError logs and counts an error. It counts an unknown customer or pipeline
// under an empty name, so that callers cannot add series to the metrics.
func (s *Server) reportError(rr resolvedRequest, took cicadapitch.Millis, err error) {
	kind := cicadapitch.KindOf(err)
	s.log.Info().Str("Request", string(rr.id)).Str("Customer", string(rr.req.Customer)).
		Str("Pipeline", string(rr.req.Pipeline)).Int64("Took", int64(took)).
		Stringer("Kind", kind).Str("Reason", err.Error()).Msg("refused")
	customer, p := rr.req.Customer, rr.req.Pipeline
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

// nextID returns a request id that is unique across all hosts. Ids that callers
// send are not used, because two callers may send the same one.
func (s *Server) nextID() cicadapitch.RequestID {
	return cicadapitch.RequestID(fmt.Sprintf("%s-%d", s.idPrefix, s.sequence.Add(1)))
}

// Running returns the number of requests that are running.
func (s *Server) Running() int { return s.running.count() }
