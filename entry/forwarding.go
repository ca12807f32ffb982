package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
)

// forward sends the request to the incarnation that may run it. If that
// incarnation has ended, the request may have run there, so it must not run
// anywhere else. A draining host forwards requests, too: a NotRun error would be
// wrong if an earlier send of the request has run.
func (s *Server) forward(ctx context.Context, o runOwner, rr resolvedRequest, chunks *chunkSink) (cicadapitch.Answer, error) {
	to, ok := s.liveOwner(o)
	if !ok {
		return cicadapitch.Answer{}, ownerGoneError()
	}
	s.running.beginForwarded()
	defer s.running.end()
	req := rr.req
	req.Deadline = max(rr.deadline.Sub(s.clock.Now()), 1)
	a, err := await(ctx, func() (cicadapitch.Answer, error) {
		return s.forwarder.Forward(ctx, to, req, chunks.send)
	})
	if err == nil || conclusive(cicadapitch.KindOf(err)) {
		return a, err
	}
	return s.queryForwarded(ctx, to, req)
}

// conclusive reports whether an error of the kind can be returned to the caller as
// it is. An error of another kind may come from the transport, which knows nothing
// of earlier sends of the request.
func conclusive(k cicadapitch.Kind) bool {
	switch k {
	case cicadapitch.Invalid, cicadapitch.Denied, cicadapitch.NotFound, cicadapitch.Conflict, cicadapitch.OutcomeUnknown:
		return true
	}
	return false
}

// queryForwarded asks the owner for the outcome of a request whose forwarding
// failed. An error of the transport says only that this send did not arrive; an
// earlier send of the same request may have.
func (s *Server) queryForwarded(ctx context.Context, to cicadapitch.Member, req cicadapitch.Request) (cicadapitch.Answer, error) {
	if req.Token == "" {
		return cicadapitch.Answer{}, ownerUnreachableError()
	}
	o, err := s.queryOwner(ctx, to, req.Customer, req.Token)
	switch {
	case err != nil:
		return cicadapitch.Answer{}, err
	case o.Answer != nil:
		return *o.Answer, nil
	case o.Error != nil:
		return cicadapitch.Answer{}, o.Error
	}
	return cicadapitch.Answer{}, cicadapitch.NewOutcomeUnknown("the request is still running")
}

// queryOwner asks another host for the outcome of the request that was sent with a
// token. Errors of the transport become OutcomeUnknown errors.
func (s *Server) queryOwner(ctx context.Context, to cicadapitch.Member, customer cicadapitch.CustomerID, token cicadapitch.Token) (idempotency.Outcome, error) {
	ctx, cancel := withTimeout(ctx, s.clock, outcomeQueryTimeout)
	defer cancel()
	o, err := await(ctx, func() (idempotency.Outcome, error) {
		return s.forwarder.Outcome(ctx, to, customer, token)
	})
	if err != nil && !conclusive(cicadapitch.KindOf(err)) {
		return idempotency.Outcome{}, ownerUnreachableError()
	}
	return o, err
}

// await runs call in a goroutine and returns its result. It returns an
// OutcomeUnknown error once ctx ends, even if call does not return. An error that
// is no cicadapitch.Error becomes OutcomeUnknown, too.
func await[T any](ctx context.Context, call func() (T, error)) (T, error) {
	type reply struct {
		value T
		err   error
	}
	replies := make(chan reply, 1)
	go func() {
		v, err := call()
		replies <- reply{v, err}
	}()
	var zero T
	select {
	case r := <-replies:
		if r.err != nil && cicadapitch.AsError(r.err) == nil {
			return zero, ownerUnreachableError()
		}
		return r.value, r.err
	case <-ctx.Done():
		return zero, ownerUnreachableError()
	}
}
