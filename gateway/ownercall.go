package gateway

import (
	"context"
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/peer"
)

// StageCall asks the owner of a stage service to run one stage of a request.
type StageCall struct {
	Shard   batch.Shard
	Request cicadapitch.RequestID
	Stage   int
	Pieces  int
	Key     string
	Inputs  []string
	// InputShards are the shards that hold the inputs.
	InputShards []batch.Shard
	// Zone is where the inputs are or the results are used, and MoveBytes what
	// moves between zones if the stage runs elsewhere.
	Zone        cicadapitch.ZoneID
	MoveBytes   cicadapitch.Bytes
	ResultBytes cicadapitch.Bytes
	Priority    int
	// DueIn and ExpireIn are the spans until the stage has to end, for the
	// objective and for any use.
	DueIn, ExpireIn cicadapitch.Millis
	// Returned is set where the caller was refused before.
	Returned bool
	// StandIn is set where the owner could not be reached.
	StandIn bool
}

// StageReply is the owner's answer.
type StageReply struct {
	Handles []string
	// Zone is where most results are.
	Zone cicadapitch.ZoneID
	Lost bool
	// Moved is set where another host owns the service by now.
	Moved bool
	// Returned is set where the caller was refused before.
	Returned bool
	Reason   string
	// RetryAfter is when the owner's queue will have drained.
	RetryAfter cicadapitch.Millis
}

// FreeCall gives up results.
type FreeCall struct {
	Shard   batch.Shard
	Handles []string
	// IfNeeded results were fetched by their user, who may need them again if its
	// call breaks. They are given up where their endpoint lacks room.
	IfNeeded bool
}

// RefusedCall tells the owner of a request's first stage that its caller was
// refused, and may come back with the same input key.
type RefusedCall struct {
	Shard batch.Shard
	Key   string
}

// callOwner runs a stage at the owner of its shard. Where that cannot be reached
// the next host in its order stands in, and at last this one. If the shard has no
// endpoints any more, c gets another one.
func (t *task) callOwner(ctx context.Context, c *StageCall) (StageReply, error) {
	begin := t.g.clock.Now()
	for tries := 0; ; {
		passed := t.g.clock.Now().Sub(begin)
		try := *c
		try.DueIn, try.ExpireIn, try.StandIn = c.DueIn-passed, c.ExpireIn-passed, tries > 0
		h, self := t.ownerAfter(c.Shard, tries)
		var (
			reply StageReply
			err   error
		)
		if self {
			reply, err = t.g.owner.Run(ctx, try)
		} else {
			reply, err = peer.Call[StageCall, StageReply](ctx, t.g.mesh.Dialer(), h.Peers, callStage, try)
		}
		switch {
		case ctx.Err() != nil:
			return reply, ctx.Err()
		case err == nil && !reply.Moved || self && err != nil:
			return reply, err
		case err == nil:
			if err := t.g.clock.Sleep(ctx, movedPause); err != nil {
				return reply, err
			}
			if !slices.Contains(batch.ShardsOf(c.Shard.Service, t.g.mesh.View()), c.Shard) {
				c.Shard = t.shardFor(c.Shard.Service, c.Zone, c.MoveBytes)
			}
		default:
			tries++
			t.g.log.Warn().Str("Id", string(c.Request)).Str("Owner", string(h.ID)).Err(err).Msg("owner of a stage service not reached")
		}
	}
}

// movedPause lets the news of a new owner arrive.
const movedPause cicadapitch.Millis = 20

// ownerAfter returns the owner of a service after so many that were not
// reached, or that this host runs the stage itself.
func (t *task) ownerAfter(s batch.Shard, tries int) (fleet.Host, bool) {
	owners := t.g.mesh.OwnersOf(s.Key())
	if t.g.mesh.Dialer() == nil || tries >= min(stageOwners, len(owners)) || t.g.mesh.IsSelf(owners[tries]) {
		return fleet.Host{}, true
	}
	return owners[tries], false
}

// noteRefusal tells the owner of the first stage that the caller was refused.
func (t *task) noteRefusal() {
	if t.request.PieceKey == "" || len(t.route.Stages) == 0 {
		return
	}
	// A caller that comes back may be sent to another shard, so all are told.
	for _, shard := range batch.ShardsOf(t.route.Stages[0].Service, t.view) {
		t.g.tellRefusal(RefusedCall{shard, t.request.PieceKey})
	}
}

func (g *Gateway) tellRefusal(c RefusedCall) {
	g.tellOwner(c.Shard, func() { g.owner.Refused(c) }, func(ctx context.Context, d *peer.Dialer, address string) error {
		_, err := peer.Call[RefusedCall, struct{}](ctx, d, address, callRefused, c)
		return err
	})
}

// free gives up results through their owner, beside the request.
func (g *Gateway) free(c FreeCall) {
	g.tellOwner(c.Shard, func() { g.owner.Free(c) }, func(ctx context.Context, d *peer.Dialer, address string) error {
		_, err := peer.Call[FreeCall, struct{}](ctx, d, address, callFree, c)
		return err
	})
}

// ownerOf returns the owner of a shard, or that it is this host.
func (g *Gateway) ownerOf(s batch.Shard) (fleet.Host, bool) {
	owners := g.mesh.OwnersOf(s.Key())
	if len(owners) == 0 {
		return fleet.Host{}, true
	}
	return owners[0], g.mesh.IsSelf(owners[0])
}

// tellOwner tells the owner of a service something that can be lost.
func (g *Gateway) tellOwner(s batch.Shard, here func(), there func(context.Context, *peer.Dialer, string) error) {
	owner, self := g.ownerOf(s)
	d := g.mesh.Dialer()
	if self || d == nil {
		here()
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout.Duration())
		defer cancel()
		if err := there(ctx, d, owner.Peers); err != nil {
			g.log.Warn().Str("Service", s.Key()).Str("Owner", string(owner.ID)).Err(err).Msg("owner was not told")
		}
	}()
}

// tellTimeout bounds calls that can be lost.
const tellTimeout cicadapitch.Millis = 1000

// Join serves the calls of other hosts.
func (g *Gateway) Join(s *peer.Server) {
	peer.Handle(s, callStage, func(ctx context.Context, c StageCall) (StageReply, error) {
		return g.owner.Run(ctx, c)
	})
	peer.Handle(s, callFree, func(_ context.Context, c FreeCall) (struct{}, error) {
		g.owner.Free(c)
		return struct{}{}, nil
	})
	peer.Handle(s, callRefused, func(_ context.Context, c RefusedCall) (struct{}, error) {
		g.owner.Refused(c)
		return struct{}{}, nil
	})
}
