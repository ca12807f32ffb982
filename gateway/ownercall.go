package gateway

import (
	"context"
	"errors"
	"math"
	"slices"
	"strconv"
	"syscall"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/origin"
	"cicadapitch.example/cicadapitch/peer"
)

// StageCall asks the owner of a shard to run one stage of a request.
type StageCall struct {
	Shard   batch.Shard
	Request cicadapitch.RequestID
	// Stage is the index of the stage in the route.
	Stage int
	// Pieces is the number of pieces to run.
	Pieces int
	// Key is the input key of a first stage, empty for stages with inputs.
	Key string
	// Inputs are the handles of the results that the stage needs.
	Inputs []string
	// InputShards are the shards whose endpoints hold the inputs.
	InputShards []batch.Shard
	// Zone is the zone of the inputs, or the likely zone of the engine for a stage
	// without inputs.
	Zone cicadapitch.ZoneID
	// MoveBytes is the number of bytes that cross zones if the stage runs outside Zone.
	MoveBytes cicadapitch.Bytes
	// ResultBytes is the approximate size of one result.
	ResultBytes cicadapitch.Bytes
	// Priority is the rank of the request, see catalog.Rank.
	Priority int
	// Customer is the customer of the request. It is empty if there is none, and in calls of builds that did not
	// send it.
	Customer cicadapitch.CustomerID `cbor:",omitempty"`
	// DueIn is the time left to meet the latency objective, ExpireIn the time after
	// which the results are of no use.
	DueIn, ExpireIn cicadapitch.Millis
	// Returned is true if the caller is retrying after a refusal.
	Returned bool
	// Resumed is true if the caller takes a stream up again.
	Resumed bool
	// StandIn is true if the receiver replaces an owner that could not be reached.
	StandIn bool
}

// Bounds of the numbers of a call of another host.
const (
	// maxCallTime bounds the times of a call, in milliseconds, in both directions. Callers wait ten
	// minutes at most.
	maxCallTime = int64(cicadapitch.Minute * 60)
	// maxCallBytes bounds the sizes of a call.
	maxCallBytes = 1 << 50
	// maxCallCustomer bounds the bytes of the customer's name.
	maxCallCustomer = 64 << 10
)

// check returns an Invalid error if a number of the call is out of range.
func (c *StageCall) check() error {
	for _, n := range []struct {
		field              string
		value, least, most int64
	}{
		{"Stage", int64(c.Stage), 0, math.MaxInt32},
		{"Pieces", int64(c.Pieces), 1, catalog.MaxPieces},
		{"Customer", int64(len(c.Customer)), 0, maxCallCustomer},
		{"MoveBytes", int64(c.MoveBytes), 0, maxCallBytes},
		{"ResultBytes", int64(c.ResultBytes), 0, maxCallBytes},
		{"DueIn", int64(c.DueIn), -maxCallTime, maxCallTime},
		{"ExpireIn", int64(c.ExpireIn), -maxCallTime, maxCallTime},
	} {
		if n.value < n.least || n.value > n.most {
			return cicadapitch.NewOutOfRange("stage call: "+n.field, strconv.FormatInt(n.value, 10), n.least, n.most)
		}
	}
	return nil
}

// StageReply is the answer to a StageCall.
type StageReply struct {
	// Handles name the results, one per piece. It is nil if the stage failed.
	Handles []string
	// Zone is the zone that holds most results.
	Zone cicadapitch.ZoneID
	// Lost is true if an input is lost and its stage has to run again.
	Lost bool
	// Moved is true if another host has become the owner of the shard.
	Moved bool
	// Returned is true if the caller is retrying after a refusal.
	Returned bool
	// Reason says why the stage failed.
	Reason string
	// RetryAfter is the time until the owner's queue has drained.
	RetryAfter cicadapitch.Millis
}

// FreeCall asks the owner of a shard to free results.
type FreeCall struct {
	Shard   batch.Shard
	Handles []string
	// IfNeeded is true if the results were fetched, but may be needed again if the
	// call that fetched them fails. They are freed only when their endpoint lacks
	// room.
	IfNeeded bool
}

// RefusalNotice tells the owner of a request's first stage that the request was
// refused, and that the caller may retry with the same input key.
type RefusalNotice struct {
	Shard batch.Shard
	Key   string
}

// callOwner runs a stage at the owner of its shard. If the owner's process has ended, the
// next host owns the shard, so that all hosts go on with the same one. If a call fails
// otherwise, callOwner tries the next owner, up to maxStageOwners hosts in all, and then runs the stage at this
// host. If the service is no longer divided into
// c.Shard, callOwner chooses another shard and stores it in c.Shard. The error is
// that of RunStage at this host, or that of ctx.
func (p *proxiedRequest) callOwner(ctx context.Context, c *StageCall) (StageReply, error) {
	start := p.g.clock.Now()
	for tries, ended := 0, 0; ; {
		h, self := p.ownerCandidate(c.Shard, tries)
		elapsed := p.g.clock.Now().Sub(start)
		attempt := *c
		attempt.DueIn, attempt.ExpireIn, attempt.StandIn = c.DueIn-elapsed, c.ExpireIn-elapsed, tries > 0 || ended > 0 && !self
		var (
			reply StageReply
			err   error
		)
		if self {
			reply, err = p.g.shards.RunStage(ctx, attempt)
		} else {
			reply, err = peer.Call[StageCall, StageReply](ctx, p.g.membership.Dialer(), h.Peers, callStage, attempt)
		}
		switch {
		case ctx.Err() != nil:
			return reply, ctx.Err()
		case err == nil && !reply.Moved || self && err != nil:
			return reply, err
		case err == nil: // the shard has another owner now
			if err := p.g.clock.Sleep(ctx, movedRetryDelay); err != nil {
				return reply, err
			}
			if !slices.Contains(batch.ShardsOf(c.Shard.Service, p.g.membership.View()), c.Shard) {
				c.Shard = p.chooseShard(c.Shard.Service, c.Zone, c.MoveBytes)
			}
		case errors.Is(err, syscall.ECONNREFUSED) && ended < maxEndedOwners:
			ended++
			p.g.membership.RecordEnded(h)
		default:
			tries++
			p.g.log.Warn().Str("Id", string(c.Request)).Str("Owner", string(h.ID)).Err(err).Msg("call to the owner of a shard failed; trying the next host")
		}
	}
}

// movedRetryDelay is the pause before a retry after the owner of a shard has changed,
// so that the change can reach this host.
const movedRetryDelay cicadapitch.Millis = 20

// ownerCandidate returns the host to try after the given number of failed tries. The
// result is true, without a host, if this host has to run the stage itself.
func (p *proxiedRequest) ownerCandidate(s batch.Shard, tries int) (fleet.Host, bool) {
	owners := p.g.membership.ShardOwners(s.Key())
	if p.g.membership.Dialer() == nil || tries >= min(maxStageOwners, len(owners)) || p.g.membership.IsSelf(owners[tries]) {
		return fleet.Host{}, true
	}
	return owners[tries], false
}

// reportRefusal notifies the owners of the first stage that the request was refused.
func (p *proxiedRequest) reportRefusal() {
	if p.request.PieceKey == "" || len(p.route.Stages) == 0 {
		return
	}
	// The retry may be sent to another shard, so all owners are notified.
	for _, shard := range batch.ShardsOf(p.route.Stages[0].Service, p.view) {
		p.g.sendRefusal(RefusalNotice{shard, p.request.PieceKey})
	}
}

// sendRefusal sends c to the owner of its shard in the background.
func (g *Gateway) sendRefusal(c RefusalNotice) {
	g.notifyOwner(c.Shard, func() { g.shards.RecordRefusal(c) }, func(ctx context.Context, d *peer.Dialer, address string) error {
		_, err := peer.Call[RefusalNotice, struct{}](ctx, d, address, callRefused, c)
		return err
	})
}

// freeResults sends c to the owner of its shard in the background.
func (g *Gateway) freeResults(c FreeCall) {
	g.notifyOwner(c.Shard, func() { g.shards.FreeResults(c) }, func(ctx context.Context, d *peer.Dialer, address string) error {
		_, err := peer.Call[FreeCall, struct{}](ctx, d, address, callFree, c)
		return err
	})
}

// ownerOf returns the owner of a shard and whether it is this host.
func (g *Gateway) ownerOf(s batch.Shard) (fleet.Host, bool) {
	owners := g.membership.ShardOwners(s.Key())
	if len(owners) == 0 {
		return fleet.Host{}, true
	}
	return owners[0], g.membership.IsSelf(owners[0])
}

// notifyOwner runs local if this host owns the shard or has no dialer yet. Otherwise
// it runs remote in the background, with the dialer and the owner's address, and again at
// the next owner if the owner's process has ended. Other failures are logged and not retried.
func (g *Gateway) notifyOwner(s batch.Shard, local func(), remote func(context.Context, *peer.Dialer, string) error) {
	owner, self := g.ownerOf(s)
	d := g.membership.Dialer()
	if self || d == nil {
		local()
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout.Duration())
		defer cancel()
		for ended := 0; ; ended++ {
			err := remote(ctx, d, owner.Peers)
			switch {
			case err == nil:
				return
			case !errors.Is(err, syscall.ECONNREFUSED) || ended == maxEndedOwners:
				g.log.Warn().Str("Service", s.Key()).Str("Owner", string(owner.ID)).Err(err).Msg("notification of the shard owner failed")
				return
			}
			g.membership.RecordEnded(owner)
			if owner, self = g.ownerOf(s); self {
				local()
				return
			}
		}
	}()
}

// notifyTimeout limits the calls that free results or report refusals. If they fail,
// results expire by themselves, and a retry gets no preference.
const notifyTimeout cicadapitch.Millis = 1000

// runStageOfOther runs a stage for another host, as the owner of its shard. If this host stops before
// the pieces are certain to be made, the error is NotRun, and the other host tries the next owner.
func (g *Gateway) runStageOfOther(ctx context.Context, c StageCall) (StageReply, error) {
	if err := c.check(); err != nil {
		g.log.Warn().Str("Id", string(c.Request)).Str("Service", c.Shard.Key()).Err(err).Msg("stage call of another host rejected")
		g.metrics.Counter("InvalidStageCalls").Inc(1)
		return StageReply{}, err
	}
	now, stop := g.clock.Now(), g.stop.Load()
	if need := min(c.ExpireIn, g.shards.callTime(c)+soundSilence+wayBackMargin); !stop.admits(now, need) {
		g.countStopping("StageRejected")
		stop.log(g.log.Info(), now).Str("Id", string(c.Request)).Str("Service", c.Shard.Key()).
			Int64("NeedMs", int64(need)).Int64("SpareMs", int64(stop.spare(now, need))).Msg("stage rejected by the stop")
		return StageReply{}, errStopping
	}
	g.stagesOfOthers.Add(1)
	defer g.stagesOfOthers.Add(-1)
	ctx, cancel := g.untilGivenUp(ctx)
	defer cancel(nil)
	return g.shards.RunStage(ctx, c)
}

// RegisterHandlers registers the handlers for calls of other hosts at s.
func (g *Gateway) RegisterHandlers(s *peer.Server) {
	g.relays.RegisterHandlers(s)
	peer.Handle(s, callStage, g.runStageOfOther)
	peer.Handle(s, callFree, func(_ context.Context, c FreeCall) (struct{}, error) {
		g.shards.FreeResults(c)
		return struct{}{}, nil
	})
	peer.Handle(s, callRefused, func(_ context.Context, c RefusalNotice) (struct{}, error) {
		g.shards.RecordRefusal(c)
		return struct{}{}, nil
	})
	peer.Handle(s, callFindOrigin, func(_ context.Context, q OriginQuery) (origin.Claim, error) {
		return g.origins.claim(g.clock.Now(), q), nil
	})
	peer.Handle(s, callTrial, func(_ context.Context, c TrialCall) (TrialReply, error) {
		return g.grantTrial(c), nil
	})
	peer.Handle(s, callSuspects, func(_ context.Context, n SuspectNotice) (SuspectReply, error) {
		return g.addSuspects(n), nil
	})
	peer.Handle(s, callRollout, g.takeReportOfOther)
	peer.Handle(s, callAddOrigins, func(_ context.Context, n OriginNotice) (struct{}, error) {
		g.addOrigins(n)
		return struct{}{}, nil
	})
}
