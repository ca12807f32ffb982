package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
	"github.com/samber/lo"
)

// runOwner names the incarnation of a host that alone may run a request that may
// not be repeated.
type runOwner struct {
	key         idempotency.Key
	host        cicadapitch.HostID
	incarnation cicadapitch.Incarnation
	// since is when the token was minted or the idempotency key was claimed.
	since cicadapitch.Instant
}

// serveNonIdempotent runs a request that may not be repeated. If the request is
// already running or has run, it returns the answer of that run.
func (s *Server) serveNonIdempotent(caller context.Context, rr resolvedRequest, chunks *chunkSink) (cicadapitch.Answer, error) {
	ctx, cancel := withTimeout(caller, s.clock, rr.deadline.Sub(s.clock.Now()))
	defer cancel()
	o, err := s.verifyTokenOrClaimKey(ctx, rr.req)
	if err != nil {
		return cicadapitch.Answer{}, err
	}
	self := s.members.Self()
	if o.host != self.Host || o.incarnation != self.Incarnation {
		return s.forward(ctx, o, rr, chunks)
	}
	e, first, err := s.ledger.Begin(o.key, o.since)
	if err != nil {
		return cicadapitch.Answer{}, err
	}
	if first {
		s.startDetached(ctx, e, rr, chunks)
		// Wait without the deadline: the run itself ends at the deadline, and its
		// error says whether a stage has started.
		return e.Wait(caller)
	}
	return e.Wait(ctx)
}

// startDetached runs the request independently of its caller's connection. If the
// connection breaks, the run continues and a retry finds its answer.
func (s *Server) startDetached(ctx context.Context, e *idempotency.Entry, rr resolvedRequest, chunks *chunkSink) {
	if err := s.running.begin(rr.deadline); err != nil {
		e.Finish(cicadapitch.Answer{}, err)
		return
	}
	detached := context.WithoutCancel(ctx)
	go func() {
		defer s.running.end()
		e.Finish(s.runStages(detached, rr, chunks))
	}()
}

// verifyTokenOrClaimKey verifies the token of a request or claims its idempotency
// key, and returns the incarnation that may run the request.
func (s *Server) verifyTokenOrClaimKey(ctx context.Context, req cicadapitch.Request) (runOwner, error) {
	if req.Token != "" {
		return s.tokenOwner(req.Customer, req.Token)
	}
	if req.IdempotencyKey == "" {
		return runOwner{}, cicadapitch.NewError(cicadapitch.Invalid,
			"the pipeline may not be repeated and the request has no token",
			"send a token from the directory or an idempotency key")
	}
	key := idempotency.Key{Customer: req.Customer, IdempotencyKey: req.IdempotencyKey}
	if _, ok := s.ledger.Find(key); ok {
		self := s.members.Self()
		return runOwner{key: key, host: self.Host, incarnation: self.Incarnation, since: s.clock.Now()}, nil
	}
	c, err := s.keyClaimer.Claim(ctx, req.Customer, req.IdempotencyKey)
	if err != nil {
		return runOwner{}, claimError(req, err)
	}
	return runOwner{key: key, host: c.Holder.Host, incarnation: c.Holder.Incarnation, since: c.ClaimedAt}, nil
}

// claimError returns the caller's error for a failed claim. It is NotRun only if
// the caller has not sent the key before: an earlier send may have run under a
// claim that the store does not return now.
func claimError(req cicadapitch.Request, err error) error {
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

// tokenOwner verifies a token and returns the host that minted it.
func (s *Server) tokenOwner(customer cicadapitch.CustomerID, token cicadapitch.Token) (runOwner, error) {
	if s.minter == nil {
		return runOwner{}, cicadapitch.NewError(cicadapitch.Invalid, "the host takes no tokens", "send an idempotency key")
	}
	permit, err := s.minter.Verify(customer, token)
	if err != nil {
		return runOwner{}, err
	}
	key := idempotency.Key{Customer: customer, Token: token}
	return runOwner{key: key, host: permit.Host, incarnation: permit.Incarnation, since: permit.MintedAt}, nil
}

// liveOwner returns the member that a run owner names. It returns false if the
// owner is an incarnation of this host, unknown or dead.
func (s *Server) liveOwner(o runOwner) (cicadapitch.Member, bool) {
	if o.host == s.members.Self().Host {
		return cicadapitch.Member{}, false
	}
	return lo.Find(s.members.Members(), func(m cicadapitch.Member) bool {
		return m.Host == o.host && m.Incarnation == o.incarnation && m.State != cicadapitch.Dead
	})
}

// Outcome returns the outcome of the request that was sent with a customer's
// token. If no request with the token has begun, none will begin afterwards, and the
// phase is Refused. If the incarnation that minted the token has ended, Outcome
// returns an OutcomeUnknown error.
func (s *Server) Outcome(ctx context.Context, customer cicadapitch.CustomerID, token cicadapitch.Token) (idempotency.Outcome, error) {
	o, err := s.tokenOwner(customer, token)
	if err != nil {
		return idempotency.Outcome{}, err
	}
	self := s.members.Self()
	if o.host != self.Host || o.incarnation != self.Incarnation {
		to, ok := s.liveOwner(o)
		if !ok {
			return idempotency.Outcome{}, ownerGoneError()
		}
		return s.queryOwner(ctx, to, customer, token)
	}
	e, err := s.ledger.FindOrRefuse(o.key, o.since)
	if err != nil {
		return idempotency.Outcome{}, err
	}
	return e.Outcome(), nil
}
