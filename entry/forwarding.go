package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
)

// forward hands the request to the incarnation that its right belongs to. Where
// that is gone, the request may have run there, and nobody may run it again. A
// leaving host still forwards, because it cannot tell that nothing has run.
func (s *Server) forward(ctx context.Context, r right, w work, out *output) (cicadapitch.Answer, error) {
	to, ok := s.holder(r)
	if !ok {
		return cicadapitch.Answer{}, gone()
	}
	s.gate.enterAlways()
	defer s.gate.leave()
	req := w.req
	req.Deadline = max(w.deadline.Sub(s.clock.Now()), 1)
	a, err := await(ctx, func() (cicadapitch.Answer, error) {
		return s.forwarder.Forward(ctx, to, req, out.send)
	})
	if err == nil || definite(cicadapitch.KindOf(err)) {
		return a, err
	}
	return s.confirm(ctx, to, req)
}

// definite reports whether an error of the kind is the same whether the holder
// of the right says it or the way there.
func definite(k cicadapitch.Kind) bool {
	switch k {
	case cicadapitch.Invalid, cicadapitch.Denied, cicadapitch.NotFound, cicadapitch.Conflict, cicadapitch.OutcomeUnknown:
		return true
	}
	return false
}

// confirm asks the holder of a right what became of it. An error of the way
// there says only that this sending did not arrive; an earlier one may have.
func (s *Server) confirm(ctx context.Context, to cicadapitch.Member, req cicadapitch.Request) (cicadapitch.Answer, error) {
	if req.Token == "" {
		return cicadapitch.Answer{}, unreachable()
	}
	o, err := s.askHolder(ctx, to, req.Customer, req.Token)
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

// askHolder asks another host what became of a token.
func (s *Server) askHolder(ctx context.Context, to cicadapitch.Member, customer cicadapitch.CustomerID, token cicadapitch.Token) (idempotency.Outcome, error) {
	ctx, cancel := withTimeout(ctx, s.clock, askMillis)
	defer cancel()
	o, err := await(ctx, func() (idempotency.Outcome, error) {
		return s.forwarder.Outcome(ctx, to, customer, token)
	})
	if err != nil && !definite(cicadapitch.KindOf(err)) {
		return idempotency.Outcome{}, unreachable()
	}
	return o, err
}

// await returns what call returns, or OutcomeUnknown once ctx ends.
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
	var none T
	select {
	case a := <-replies:
		if a.err != nil && cicadapitch.AsError(a.err) == nil {
			return none, unreachable()
		}
		return a.value, a.err
	case <-ctx.Done():
		return none, unreachable()
	}
}
