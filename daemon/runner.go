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

// runner runs attempts on this host's own shards directly and on those of
// other hosts through the peer transport.
type runner struct {
	self   cicadapitch.HostID
	local  *endpoint.Owner
	dialer *peer.Dialer
}

// Run implements cicadapitch.Runner.
func (r *runner) Run(
	ctx context.Context, owner cicadapitch.Member, a cicadapitch.Attempt, sink func(cicadapitch.Chunk),
) (cicadapitch.StageResult, error) {
	if owner.Host == r.self {
		return r.local.Run(ctx, a, sink)
	}
	return peer.CallStream[cicadapitch.Attempt, cicadapitch.Chunk, cicadapitch.StageResult](
		ctx, r.dialer, owner.PeerAddress, runMessage, a, sink)
}

// Outcome implements cicadapitch.Runner.
func (r *runner) Outcome(
	ctx context.Context, owner cicadapitch.Member, id cicadapitch.AttemptID,
) (cicadapitch.AttemptState, error) {
	if owner.Host == r.self {
		return r.local.Outcome(id), nil
	}
	return peer.Call[cicadapitch.AttemptID, cicadapitch.AttemptState](
		ctx, r.dialer, owner.PeerAddress, outcomeMessage, id)
}

// serveAttempts answers the attempts of other hosts.
func serveAttempts(s *peer.Server, owner *endpoint.Owner) {
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
	peer.Handle(s, outcomeMessage, func(
		_ context.Context, id cicadapitch.AttemptID,
	) (cicadapitch.AttemptState, error) {
		return owner.Outcome(id), nil
	})
}
