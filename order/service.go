package order

import (
	"context"
	"fmt"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
)

// Mutation changes a configuration or refuses to. It is called again on a
// newer configuration where another operator's change came first, and must
// have no other effects.
type Mutation func(*cicadapitch.Configuration) error

// Applier makes changes in the platform's service, as configuration.Applier
// does. The same change id is applied once.
type Applier interface {
	Apply(ctx context.Context, c configuration.Change) (configuration.Outcome, error)
}

// Propagation tells how far a revision has come.
type Propagation interface {
	// InForce returns on how many of how many hosts the revision or a later
	// one is in force.
	InForce(ctx context.Context, r cicadapitch.Revision) (n, m int)
	// HostsUp returns the hosts that are counted.
	HostsUp() map[cicadapitch.HostID]bool
}

// MaxWait bounds the wait until a change is in force everywhere, and the wait
// for the store before that.
const MaxWait = 6 * cicadapitch.Second

// maxAppearing bounds the wait for hosts of the configuration that are not
// known to be up. A host that has just started learns of the others within it.
const maxAppearing = 2 * cicadapitch.Second

// pollInterval is the time between two looks at the hosts' revisions.
const pollInterval cicadapitch.Millis = 50

// Service gives orders.
type Service struct {
	configurations cicadapitch.Configurations
	applier        Applier
	spread         Propagation
	clock          cicadapitch.Clock
	wait           cicadapitch.Millis
	bootstrapHash  string
}

// NewService returns a service that makes its changes through applier.
func NewService(
	configurations cicadapitch.Configurations,
	applier Applier,
	spread Propagation,
	clock cicadapitch.Clock,
	opts ...Option,
) *Service {
	s := &Service{
		configurations: configurations,
		applier:        applier,
		spread:         spread,
		clock:          clock,
		wait:           MaxWait,
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Result is the answer to an order that was accepted.
type Result struct {
	Change   cicadapitch.ChangeID `json:"Change"`
	Revision cicadapitch.Revision `json:"Revision"`
	Summary  string               `json:"Summary"`
	// InForce counts the hosts on which the change is in force, Hosts all.
	InForce int `json:"InForce"`
	Hosts   int `json:"Hosts"`
	// Missing are hosts of the configuration in service that are not known
	// to be up. They are not among Hosts.
	Missing  []cicadapitch.HostID `json:"Missing"`
	Repeated bool                 `json:"Repeated" doc:"True where this change id had been accepted before"`
}

// String returns the result on one line.
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

// Execute makes the change of an operator and waits until it is in force on all
// hosts, for MaxWait at most.
func (s *Service) Execute(ctx context.Context, who Principal, o Order) (Result, error) {
	if err := checkChangeID(o.Change); err != nil {
		return Result{}, err
	}
	out, err := s.apply(ctx, configuration.Change{
		ID:       o.Change,
		Operator: who.Operator,
		At:       s.clock.Now(),
		Summary:  o.Summary,
		Mutate:   guarded(who, o.Mutate),
	})
	if err != nil {
		return Result{}, explain(err)
	}
	r := s.awaitInForce(ctx, out.Revision)
	r.Change = o.Change
	r.Revision = out.Revision
	r.Summary = o.Summary
	r.Repeated = out.Result == configuration.Repeated
	return r, nil
}

func (s *Service) apply(ctx context.Context, c configuration.Change) (configuration.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, MaxWait.Duration())
	defer cancel()
	return s.applier.Apply(ctx, c)
}

// Order is one order with its effect.
type Order struct {
	Change  cicadapitch.ChangeID
	Summary string
	Mutate  Mutation
}

// guarded checks the operator's right on the configuration that is changed,
// because this host's may be older, and checks the changed configuration beyond
// what the applier checks.
func guarded(who Principal, m Mutation) Mutation {
	return func(cfg *cicadapitch.Configuration) error {
		if err := who.allowed(cfg); err != nil {
			return err
		}
		if err := m(cfg); err != nil {
			return err
		}
		return check(cfg)
	}
}

func (s *Service) awaitInForce(ctx context.Context, revision cicadapitch.Revision) Result {
	start := s.clock.Now()
	for {
		r := s.reach(ctx, revision)
		waited := s.clock.Now().Sub(start)
		settled := len(r.Missing) == 0 || waited >= maxAppearing
		if (r.Hosts > 0 && r.InForce >= r.Hosts && settled) || waited >= s.wait {
			return r
		}
		if s.clock.Sleep(ctx, pollInterval) != nil {
			return r
		}
	}
}

// reach returns how far a revision has come.
func (s *Service) reach(ctx context.Context, revision cicadapitch.Revision) Result {
	n, m := s.spread.InForce(ctx, revision)
	r := Result{InForce: n, Hosts: m, Missing: []cicadapitch.HostID{}}
	cfg := s.configurations.Current()
	if cfg == nil {
		return r
	}
	up := s.spread.HostsUp()
	for _, h := range cfg.Hosts {
		if !h.Out && !up[h.ID] {
			r.Missing = append(r.Missing, h.ID)
		}
	}
	return r
}

// explain says what the failure of an order means.
func explain(err error) error {
	e := cicadapitch.AsError(err)
	if e == nil {
		return cicadapitch.NewOutcomeUnknown("the order failed: " + err.Error())
	}
	told := *e
	switch e.Kind {
	case cicadapitch.Unavailable, cicadapitch.NotRun:
		told.Kind = cicadapitch.Unavailable
		told.Reason = "not accepted, the store is down: " + e.Reason
		told.Remedy = "give the order again later; nothing was changed"
	case cicadapitch.OutcomeUnknown, cicadapitch.DeadlineExceeded:
		told.Kind = cicadapitch.OutcomeUnknown
		told.Reason = "it is not known whether the order was accepted: " + e.Reason
		told.Remedy = "give the order again with the same change id, which applies it once at most"
	}
	return &told
}

const maxChangeIDLength = 128

func checkChangeID(id cicadapitch.ChangeID) error {
	if len(id) >= 8 && len(id) <= maxChangeIDLength {
		return nil
	}
	return cicadapitch.NewError(cicadapitch.Invalid, "the change id is missing or of the wrong length",
		fmt.Sprintf("mint one of 8 to %d characters and keep it for repeats", maxChangeIDLength))
}
