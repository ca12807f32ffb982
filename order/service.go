package order

import (
	"context"
	"fmt"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
)

// Mutation changes a configuration in place or returns an error. It is called again
// with a newer configuration if another change was written first, so it must have
// no other side effects.
type Mutation func(*cicadapitch.Configuration) error

// Applier writes changes of the configuration to the store. configuration.Applier
// implements it.
type Applier interface {
	// Apply applies a change at most once for each change id.
	Apply(ctx context.Context, c configuration.Change) (configuration.Outcome, error)
}

// Propagation reports on which hosts a revision is in force.
type Propagation interface {
	// InForce returns on how many hosts revision r or a higher one is in
	// force, and how many hosts are counted in total.
	InForce(ctx context.Context, r cicadapitch.Revision) (inForce, total int)
	// HostsUp returns the set of the hosts that InForce counts. A host with the
	// value false is not in the set.
	HostsUp() map[cicadapitch.HostID]bool
}

// MaxWait limits the wait for the store, and then the wait until a change is in
// force on all hosts.
const MaxWait = 6 * cicadapitch.Second

// maxDiscoveryWait limits the wait for configured hosts that are not known to be
// up. A host that has just started discovers the others within this time.
const maxDiscoveryWait = 2 * cicadapitch.Second

// pollInterval is the time between two reads of the hosts' revisions.
const pollInterval cicadapitch.Millis = 50

// Service authenticates operators and executes their orders.
type Service struct {
	configurations cicadapitch.ConfigurationSource
	applier        Applier
	propagation    Propagation
	clock          cicadapitch.Clock
	maxWait        cicadapitch.Millis
	bootstrapHash  string
}

// NewService returns a Service that applies changes with applier and reads their
// progress from propagation.
func NewService(
	configurations cicadapitch.ConfigurationSource,
	applier Applier,
	propagation Propagation,
	clock cicadapitch.Clock,
	opts ...Option,
) *Service {
	s := &Service{
		configurations: configurations,
		applier:        applier,
		propagation:    propagation,
		clock:          clock,
		maxWait:        MaxWait,
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Result is the answer to an accepted order.
type Result struct {
	Change   cicadapitch.ChangeID `json:"Change"`
	Revision cicadapitch.Revision `json:"Revision"`
	Summary  string               `json:"Summary"`
	// InForce is the number of hosts on which the change is in force, out of
	// Hosts that are ready, leaving or suspect.
	InForce int `json:"InForce"`
	Hosts   int `json:"Hosts"`
	// Missing are the configured hosts in service that are not known to be up.
	// Hosts does not count them.
	Missing  []cicadapitch.HostID `json:"Missing"`
	Repeated bool                 `json:"Repeated" doc:"True where this change id had been accepted before"`
}

// String returns the result as one line of text.
func (r Result) String() string {
	s := fmt.Sprintf("%s: accepted as revision %d, in force on %d of %d hosts", r.Summary, r.Revision, r.InForce, r.Hosts)
	if len(r.Missing) > 0 {
		s += fmt.Sprintf("; not known to be up: %v", r.Missing)
	}
	if r.Repeated {
		s += ", had been accepted before"
	}
	return s
}

// Execute applies an order and waits until the change is in force on all hosts, for
// at most MaxWait or the time set by WithMaxWait. When that time is over or ctx
// ends during this wait, it returns the progress so far without an error.
//
// The error is Unavailable if nothing was changed because the store is down, and
// OutcomeUnknown if it is unknown whether the change was applied; the caller should
// then repeat the order with the same change id. NotFound, Conflict, Invalid and
// Denied errors of o.Mutate keep their kind.
func (s *Service) Execute(ctx context.Context, principal Principal, o Order) (Result, error) {
	if err := checkChangeID(o.Change); err != nil {
		return Result{}, err
	}
	outcome, err := s.apply(ctx, configuration.Change{
		ID:       o.Change,
		Operator: principal.Operator,
		At:       s.clock.Now(),
		Summary:  o.Summary,
		Mutate:   authorizedMutation(principal, o.Mutate),
	})
	if err != nil {
		return Result{}, describeFailure(err)
	}
	r := s.awaitInForce(ctx, outcome.Revision)
	r.Change = o.Change
	r.Revision = outcome.Revision
	r.Summary = o.Summary
	r.Repeated = outcome.Result == configuration.Repeated
	return r, nil
}

// apply gives the applier at most MaxWait, regardless of WithMaxWait.
func (s *Service) apply(ctx context.Context, c configuration.Change) (configuration.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxWait.Duration())
	defer cancel()
	return s.applier.Apply(ctx, c)
}

// Order is one change requested by an operator.
type Order struct {
	// Change is the id chosen by the sender, of 8 to maxChangeIDLength bytes.
	Change cicadapitch.ChangeID
	// Summary describes the change in the result and the audit record.
	Summary string
	Mutate  Mutation
}

// authorizedMutation returns m with two checks. It authorizes the principal again on
// the configuration that is changed, because the one in force on this host may be
// older. It also checks the result for rules that the applier does not check.
func authorizedMutation(principal Principal, m Mutation) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		if err := principal.authorize(cfg); err != nil {
			return err
		}
		if err := m(cfg); err != nil {
			return err
		}
		return checkOrderRules(cfg)
	}
}

// awaitInForce polls until the revision is in force on all hosts and all configured
// hosts are known to be up, or until the time limits or ctx end the wait.
func (s *Service) awaitInForce(ctx context.Context, revision cicadapitch.Revision) Result {
	start := s.clock.Now()
	for {
		r := s.progress(ctx, revision)
		waited := s.clock.Now().Sub(start)
		hostsKnown := len(r.Missing) == 0 || waited >= maxDiscoveryWait
		if (r.Hosts > 0 && r.InForce >= r.Hosts && hostsKnown) || waited >= s.maxWait {
			return r
		}
		if s.clock.Sleep(ctx, pollInterval) != nil {
			return r
		}
	}
}

// progress returns a Result with InForce, Hosts and Missing for a revision.
func (s *Service) progress(ctx context.Context, revision cicadapitch.Revision) Result {
	inForce, total := s.propagation.InForce(ctx, revision)
	r := Result{InForce: inForce, Hosts: total, Missing: []cicadapitch.HostID{}}
	cfg := s.configurations.Current()
	if cfg == nil {
		return r
	}
	up := s.propagation.HostsUp()
	for _, h := range cfg.Hosts {
		if !h.Out && !up[h.ID] {
			r.Missing = append(r.Missing, h.ID)
		}
	}
	return r
}

// describeFailure adds to an error of the applier whether the order was accepted and
// what the operator should do. Errors other than cicadapitch.Error become
// OutcomeUnknown.
func describeFailure(err error) error {
	e := cicadapitch.AsError(err)
	if e == nil {
		return cicadapitch.NewOutcomeUnknown("the order failed: " + err.Error())
	}
	described := *e
	switch e.Kind {
	case cicadapitch.Unavailable, cicadapitch.NotRun:
		described.Kind = cicadapitch.Unavailable
		described.Reason = "not accepted, the store is down: " + e.Reason
		described.Remedy = "give the order again later; nothing was changed"
	case cicadapitch.OutcomeUnknown, cicadapitch.DeadlineExceeded:
		described.Kind = cicadapitch.OutcomeUnknown
		described.Reason = "it is not known whether the order was accepted: " + e.Reason
		described.Remedy = "give the order again with the same change id, which applies it once at most"
	}
	return &described
}

// maxChangeIDLength is the maximum length of a change id in bytes.
const maxChangeIDLength = 128

// checkChangeID verifies that a change id has 8 to maxChangeIDLength bytes.
func checkChangeID(id cicadapitch.ChangeID) error {
	if len(id) >= 8 && len(id) <= maxChangeIDLength {
		return nil
	}
	return cicadapitch.NewError(cicadapitch.Invalid, "the change id is missing or of the wrong length",
		fmt.Sprintf("mint one of 8 to %d characters and keep it for repeats", maxChangeIDLength))
}
