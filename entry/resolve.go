package entry

import (
	"cicadapitch.example/cicadapitch"
	"github.com/samber/lo"
)

const (
	maxKeyBytes    = 256
	maxPrefixBytes = 4096
)

// resolvedRequest is a request with the configuration of its customer and pipeline
// at its arrival. They stay the same while the request runs, even if operators
// change the configuration.
type resolvedRequest struct {
	id       cicadapitch.RequestID
	req      cicadapitch.Request
	cfg      *cicadapitch.Configuration
	pipeline cicadapitch.Pipeline
	share    cicadapitch.Share
	// timeLimit is the time from the arrival of the request to its deadline.
	timeLimit  cicadapitch.Millis
	deadline   cicadapitch.Instant
	idempotent bool
}

// resolve checks a request and looks up its customer and pipeline in the
// configuration in force. The id and the deadline are not set yet.
func (s *Server) resolve(req cicadapitch.Request) (resolvedRequest, error) {
	cfg := s.configurations.Current()
	if cfg == nil {
		return resolvedRequest{}, unconfiguredError(req)
	}
	if err := s.checkSizes(req); err != nil {
		return resolvedRequest{}, err
	}
	c, ok := cfg.Customer(req.Customer)
	if !ok || c.Out {
		return resolvedRequest{}, cicadapitch.NewError(cicadapitch.Denied, "the customer is not in service", "ask an operator")
	}
	p, ok := cfg.Pipeline(req.Pipeline)
	if !ok || len(p.Stages) == 0 {
		return resolvedRequest{}, cicadapitch.NewError(cicadapitch.NotFound, "there is no such pipeline", "check the name of the pipeline")
	}
	if req.Deadline < 0 {
		return resolvedRequest{}, cicadapitch.NewError(cicadapitch.Invalid, "the deadline has passed", "send the request with time left")
	}
	timeLimit := cfg.DeadlineFor(req.Customer, p)
	if req.Deadline > 0 {
		timeLimit = min(timeLimit, req.Deadline)
	}
	return resolvedRequest{
		req:        req,
		cfg:        cfg,
		pipeline:   p,
		share:      c.Share,
		timeLimit:  timeLimit,
		idempotent: Idempotent(p),
	}, nil
}

// unconfiguredError returns the error of a host without a configuration. It is
// NotRun only if no other host can have run the request.
func unconfiguredError(req cicadapitch.Request) error {
	const reason = "the host has no configuration yet"
	if req.Token != "" || req.IdempotencyKey != "" {
		return cicadapitch.NewOutcomeUnknown(reason)
	}
	return cicadapitch.NewNotRun(reason, cicadapitch.Second)
}

// Idempotent reports whether all stages of a pipeline are idempotent, so that its
// requests may be repeated.
func Idempotent(p cicadapitch.Pipeline) bool {
	return lo.EveryBy(p.Stages, func(st cicadapitch.Stage) bool { return st.Idempotent })
}

func (s *Server) checkSizes(req cicadapitch.Request) error {
	switch {
	case cicadapitch.Bytes(len(req.Input)) > s.maxInput:
		return cicadapitch.NewError(cicadapitch.Invalid, "the input is too long", "send a shorter input")
	case len(req.Prefix) > maxPrefixBytes:
		return cicadapitch.NewError(cicadapitch.Invalid, "the prefix is too long", "send a hash of the prefix")
	case len(req.IdempotencyKey) > maxKeyBytes:
		return cicadapitch.NewError(cicadapitch.Invalid, "the idempotency key is too long", "send a key of up to 256 bytes")
	}
	return nil
}
