package daemon

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
	"cicadapitch.example/cicadapitch/peer"
)

// Names of the messages between hosts.
const (
	runMessage     = "Endpoint.Run"
	outcomeMessage = "Endpoint.Outcome"
)

// outcomeQuery asks one incarnation of an owner what became of an attempt. A
// later one does not know the attempts of the one before and must not answer.
type outcomeQuery struct {
	Incarnation cicadapitch.Incarnation
	Attempt     cicadapitch.AttemptID
}

// runner runs attempts on this host's own shards directly and on those of
// other hosts through the peer transport.
type runner struct {
	self   cicadapitch.Member
	local  *endpoint.Owner
	dialer *peer.Dialer
}

// Run implements cicadapitch.AttemptRunner.
func (r *runner) Run(
	ctx context.Context, owner cicadapitch.Member, a cicadapitch.Attempt, sink func(cicadapitch.Chunk),
) (cicadapitch.StageResult, error) {
	if owner.Host == r.self.Host {
		return r.local.Run(ctx, a, sink)
	}
	return peer.CallStream[cicadapitch.Attempt, cicadapitch.Chunk, cicadapitch.StageResult](
		ctx, r.dialer, owner.PeerAddress, runMessage, a, sink)
}

// Outcome implements cicadapitch.AttemptRunner.
func (r *runner) Outcome(
	ctx context.Context, owner cicadapitch.Member, id cicadapitch.AttemptID,
) (cicadapitch.AttemptState, error) {
	q := outcomeQuery{Incarnation: owner.Incarnation, Attempt: id}
	if owner.Host == r.self.Host {
		return answerOutcome(r.self, r.local, q)
	}
	return peer.Call[outcomeQuery, cicadapitch.AttemptState](ctx, r.dialer, owner.PeerAddress, outcomeMessage, q)
}

func answerOutcome(
	self cicadapitch.Member, owner *endpoint.Owner, q outcomeQuery,
) (cicadapitch.AttemptState, error) {
	if q.Incarnation != self.Incarnation {
		return cicadapitch.AttemptState{}, replaced()
	}
	return owner.Outcome(q.Attempt), nil
}

// serveAttempts answers the attempts of other hosts.
func serveAttempts(s *peer.Server, self cicadapitch.Member, owner *endpoint.Owner) {
	peer.HandleStream(s, runMessage, func(
		ctx context.Context, a cicadapitch.Attempt, send func(cicadapitch.Chunk) error,
	) (cicadapitch.StageResult, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		return owner.Run(ctx, a, func(c cicadapitch.Chunk) {
			if send(c) != nil {
				cancel()
			}
		})
	})
	peer.Handle(s, outcomeMessage, func(_ context.Context, q outcomeQuery) (cicadapitch.AttemptState, error) {
		return answerOutcome(self, owner, q)
	})
}
