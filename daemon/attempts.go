package daemon

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
	"cicadapitch.example/cicadapitch/peer"
)

// Names of the peer messages for attempts.
const (
	runAttemptMessage     = "Endpoint.Run"
	attemptOutcomeMessage = "Endpoint.Outcome"
)

// attemptOutcomeQuery asks one incarnation of a shard's owner for the state of an
// attempt. A later incarnation does not know the attempts of earlier ones and must
// not report a state for them.
type attemptOutcomeQuery struct {
	Incarnation cicadapitch.Incarnation
	Attempt     cicadapitch.AttemptID
}

// attemptRunner implements cicadapitch.AttemptRunner. It runs attempts on this
// host's own shards directly and those on shards of other hosts over the peer
// transport.
type attemptRunner struct {
	self   cicadapitch.Member
	local  *endpoint.Owner
	dialer *peer.Dialer
}

// Run implements cicadapitch.AttemptRunner.
func (r *attemptRunner) Run(
	ctx context.Context, owner cicadapitch.Member, a cicadapitch.Attempt, sink func(cicadapitch.Chunk),
) (cicadapitch.StageResult, error) {
	if owner.Host == r.self.Host {
		return r.local.Run(ctx, a, sink)
	}
	return peer.CallStream[cicadapitch.Attempt, cicadapitch.Chunk, cicadapitch.StageResult](
		ctx, r.dialer, owner.PeerAddress, runAttemptMessage, a, sink)
}

// Outcome implements cicadapitch.AttemptRunner.
func (r *attemptRunner) Outcome(
	ctx context.Context, owner cicadapitch.Member, id cicadapitch.AttemptID,
) (cicadapitch.AttemptState, error) {
	q := attemptOutcomeQuery{Incarnation: owner.Incarnation, Attempt: id}
	if owner.Host == r.self.Host {
		return attemptOutcome(r.self, r.local, q)
	}
	return peer.Call[attemptOutcomeQuery, cicadapitch.AttemptState](ctx, r.dialer, owner.PeerAddress, attemptOutcomeMessage, q)
}

// attemptOutcome returns the state of the attempt in q, or an OutcomeUnknown error
// if q is meant for another incarnation than self.
func attemptOutcome(
	self cicadapitch.Member, owner *endpoint.Owner, q attemptOutcomeQuery,
) (cicadapitch.AttemptState, error) {
	if q.Incarnation != self.Incarnation {
		return cicadapitch.AttemptState{}, newProcessReplacedError()
	}
	return owner.Outcome(q.Attempt), nil
}

// serveAttempts registers the handlers for attempts that other hosts send to owner
// and for queries about their outcome. An attempt is canceled if its chunks can no
// longer be sent.
func serveAttempts(s *peer.Server, self cicadapitch.Member, owner *endpoint.Owner) {
	peer.HandleStream(s, runAttemptMessage, func(
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
	peer.Handle(s, attemptOutcomeMessage, func(_ context.Context, q attemptOutcomeQuery) (cicadapitch.AttemptState, error) {
		return attemptOutcome(self, owner, q)
	})
}
