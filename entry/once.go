package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
	"github.com/samber/lo"
)

// right names who may run a request that may not be repeated.
type right struct {
	key         idempotency.Key
	host        cicadapitch.HostID
	incarnation cicadapitch.Incarnation
	since       cicadapitch.Instant
}

// serveOnce runs a request that may not be repeated, or joins its run.
func (s *Server) serveOnce(caller context.Context, w work, out *output) (cicadapitch.Answer, error) {
	ctx, cancel := withTimeout(caller, s.clock, w.deadline.Sub(s.clock.Now()))
	defer cancel()
	r, err := s.right(ctx, w.req)
	if err != nil {
		return cicadapitch.Answer{}, err
	}
	self := s.members.Self()
	if r.host != self.Host || r.incarnation != self.Incarnation {
		return s.forward(ctx, r, w, out)
	}
	e, first, err := s.ledger.Begin(r.key, r.since)
	if err != nil {
		return cicadapitch.Answer{}, err
	}
	if first {
		s.start(ctx, e, w, out)
		// The run itself ends at the deadline and knows what has started.
		return e.Wait(caller)
	}
	return e.Wait(ctx)
}

// start runs the request apart from its caller's connection, so that the run
// goes on and a retry finds its answer when the connection breaks.
func (s *Server) start(ctx context.Context, e *idempotency.Entry, w work, out *output) {
	if err := s.gate.enter(); err != nil {
		e.Finish(cicadapitch.Answer{}, err)
		return
	}
	detached := context.WithoutCancel(ctx)
	go func() {
		defer s.gate.leave()
		e.Finish(s.run(detached, w, out))
	}()
}

// right proves the token of a request or claims its idempotency key.
func (s *Server) right(ctx context.Context, req cicadapitch.Request) (right, error) {
	if req.Token != "" {
		return s.tokenRight(req.Customer, req.Token)
	}
	if req.IdempotencyKey == "" {
		return right{}, cicadapitch.NewError(cicadapitch.Invalid,
			"the pipeline may not be repeated and the request has no token",
			"send a token from the directory or an idempotency key")
	}
	key := idempotency.Key{Customer: req.Customer, IdempotencyKey: req.IdempotencyKey}
	if _, ok := s.ledger.Find(key); ok {
		self := s.members.Self()
		return right{key: key, host: self.Host, incarnation: self.Incarnation, since: s.clock.Now()}, nil
	}
	c, err := s.claims.Claim(ctx, req.Customer, req.IdempotencyKey)
	if err != nil {
		return right{}, unclaimed(req, err)
	}
	return right{key: key, host: c.Holder.Host, incarnation: c.Holder.Incarnation, since: c.ClaimedAt}, nil
}

// unclaimed says NotRun only to a caller that has not sent the key before. An
// earlier sending can have run under a claim that the store does not show now.
func unclaimed(req cicadapitch.Request, err error) error {
	e := cicadapitch.AsError(err)
	switch {
	case e == nil:
		e = cicadapitch.NewNotRun("the key could not be claimed", cicadapitch.Second)
	case e.Kind == cicadapitch.Invalid:
		return e
	}
	if req.Repeated {
		return cicadapitch.NewOutcomeUnknown(e.Reason)
	}
	return e
}

func (s *Server) tokenRight(customer cicadapitch.CustomerID, token cicadapitch.Token) (right, error) {
	if s.minter == nil {
		return right{}, cicadapitch.NewError(cicadapitch.Invalid, "the host takes no tokens", "send an idempotency key")
	}
	rights, err := s.minter.Verify(customer, token)
	if err != nil {
		return right{}, err
	}
	key := idempotency.Key{Customer: customer, Token: token}
	return right{key: key, host: rights.Host, incarnation: rights.Incarnation, since: rights.MintedAt}, nil
}

// holder returns the live incarnation that holds a right.
func (s *Server) holder(r right) (cicadapitch.Member, bool) {
	if r.host == s.members.Self().Host {
		return cicadapitch.Member{}, false
	}
	return lo.Find(s.members.Members(), func(m cicadapitch.Member) bool {
		return m.Host == r.host && m.Incarnation == r.incarnation && m.State != cicadapitch.Dead
	})
}

// Outcome returns what became of a customer's token. A token that has not begun
// is refused for good. Where the incarnation that minted it is gone, it returns
// an OutcomeUnknown error.
func (s *Server) Outcome(ctx context.Context, customer cicadapitch.CustomerID, token cicadapitch.Token) (idempotency.Outcome, error) {
	r, err := s.tokenRight(customer, token)
	if err != nil {
		return idempotency.Outcome{}, err
	}
	self := s.members.Self()
	if r.host != self.Host || r.incarnation != self.Incarnation {
		to, ok := s.holder(r)
		if !ok {
			return idempotency.Outcome{}, gone()
		}
		return s.askHolder(ctx, to, customer, token)
	}
	e, err := s.ledger.FindOrRefuse(r.key, r.since)
	if err != nil {
		return idempotency.Outcome{}, err
	}
	return e.Outcome(), nil
}
