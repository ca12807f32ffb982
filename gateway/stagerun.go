package gateway

import (
	"context"
	"slices"
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/peer"
)

// Names of the calls between hosts.
const (
	callStage   = "stage"
	callFree    = "free"
	callRefused = "refused"
)

const (
	// stageOwners bounds the hosts tried as the owner of a stage service before
	// this host runs the stage itself.
	stageOwners = 2
	// transitSlack is the time between a stage's end and the next one's start.
	transitSlack cicadapitch.Millis = 40
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

type stageEnd struct {
	stage int
	reply StageReply
	err   error
}

// runStages runs the stages of the request and returns the results that its
// engine needs. release gives up the results that are still held.
func (t *task) runStages(ctx context.Context, zone cicadapitch.ZoneID) (stageResults, error) {
	held := &holding{t: t, handles: map[int][]string{}, zones: map[int]cicadapitch.ZoneID{}, shards: map[int]batch.Shard{}}
	pieces := t.request.Pieces
	if len(pieces) < len(t.route.Stages) {
		pieces = append(append([]int(nil), pieces...), make([]int, len(t.route.Stages)-len(pieces))...)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan stageEnd, len(t.route.Stages))
	started := make([]bool, len(t.route.Stages))
	running := 0
	startReady := func() {
		for i := range t.route.Stages {
			if started[i] || pieces[i] == 0 || !t.inputsReady(i, pieces, held) {
				continue
			}
			started[i] = true
			running++
			go func() { ends <- t.runStage(ctx, i, pieces, held, zone) }()
		}
	}
	startReady()
	for running > 0 {
		end := <-ends
		running--
		if end.err != nil {
			cancel()
			// The results of stages that still run come back to their owner.
			held.release()
			return stageResults{}, end.err
		}
		t.returned = t.returned || end.reply.Returned
		held.put(end.stage, end.reply.Handles, end.reply.Zone)
		t.freeUsed(pieces, held)
		startReady()
	}
	out := stageResults{release: held.release}
	var heaviest cicadapitch.Bytes
	for _, i := range t.route.Sinks(pieces) {
		handles := held.get(i)
		out.handles = append(out.handles, handles...)
		bytes := t.route.Stages[i].ResultBytes * cicadapitch.Bytes(len(handles))
		if bytes > heaviest && bytes >= t.rereadBytes() {
			heaviest, out.zone = bytes, held.zone(i)
		}
	}
	return out, nil
}

const (
	// tokenBytes is the size of stage results whose move between zones costs as
	// much as reading a prompt token again.
	tokenBytes cicadapitch.Bytes = 3500
	// leastMove is the size below which results never decide the engine.
	leastMove cicadapitch.Bytes = 400_000
)

// rereadBytes is the size of results from which an engine in their zone is
// better than the one that holds the session's prompt.
func (t *task) rereadBytes() cicadapitch.Bytes {
	n := len(t.request.Prompt)
	if n < 2 {
		return leastMove
	}
	return max(leastMove, tokenBytes*cicadapitch.Bytes(t.request.Prompt[n-2].Tokens))
}

// stageResults are what an engine needs of the stages.
type stageResults struct {
	handles []string
	// zone is where heavy results are, or empty.
	zone cicadapitch.ZoneID
	// release gives up the results that are still held.
	release func()
}

func (t *task) inputsReady(stage int, pieces []int, held *holding) bool {
	for _, a := range t.route.Stages[stage].After {
		if pieces[a] > 0 && held.get(a) == nil {
			return false
		}
	}
	return true
}

// freeUsed gives up results that every stage which needs them has used.
func (t *task) freeUsed(pieces []int, held *holding) {
	for i := range t.route.Stages {
		if held.get(i) == nil {
			continue
		}
		followed, open := false, false
		for j, s := range t.route.Stages {
			for _, a := range s.After {
				if a == i && pieces[j] > 0 {
					followed = true
					open = open || held.get(j) == nil && !held.freed(j)
				}
			}
		}
		if followed && !open {
			held.free(i)
		}
	}
}

func (t *task) runStage(ctx context.Context, stage int, pieces []int, held *holding, zone cicadapitch.ZoneID) stageEnd {
	s := t.route.Stages[stage]
	now := t.g.clock.Now()
	first := t.expectedFirst()
	after := t.pathAfter(stage, pieces, t.waitOf)
	afterLate := after
	if now.Add(t.stageTime(s.Service, t.waitOf)+after+first) > t.aim {
		afterLate = t.pathAfter(stage, pieces, t.lateWaitOf)
	}
	c := StageCall{
		Request: t.request.ID, Stage: stage, Pieces: pieces[stage],
		Zone: zone, ResultBytes: s.ResultBytes, Priority: t.priority, Returned: t.returned,
		DueIn:    t.aim.Sub(now) - after - first,
		ExpireIn: t.firstBy.Sub(now) - afterLate - first,
	}
	if slices.Contains(t.route.Sinks(pieces), stage) {
		c.MoveBytes = s.ResultBytes * cicadapitch.Bytes(c.Pieces)
	}
	for _, a := range s.After {
		inputs := held.get(a)
		c.Inputs = append(c.Inputs, inputs...)
		c.InputShards = append(c.InputShards, held.shard(a))
		// Each piece fetches all inputs.
		bytes := t.route.Stages[a].ResultBytes * cicadapitch.Bytes(len(inputs)*c.Pieces)
		if bytes > c.MoveBytes {
			c.MoveBytes, c.Zone = bytes, held.zone(a)
		}
	}
	if len(c.Inputs) == 0 {
		c.Key = t.request.PieceKey
	}
	c.Shard = t.shardFor(s.Service, c.Zone, c.MoveBytes)
	held.setShard(stage, c.Shard)
	reply, err := t.callOwner(ctx, c)
	took := t.g.clock.Now().Sub(now)
	t.g.log.Info().Str("Id", string(t.request.ID)).Int("Stage", stage).Str("Service", c.Shard.Key()).
		Int("Pieces", c.Pieces).Str("Key", c.Key).Int64("DueInMs", int64(c.DueIn)).Int64("ExpireInMs", int64(c.ExpireIn)).
		Int64("TookMs", int64(took)).Str("Reason", reply.Reason).Err(err).Msg("stage")
	t.g.metrics.Tagged(map[string]string{"Service": string(s.Service)}).Histogram("Stage", Buckets).RecordDuration(took.Duration())
	if err == nil && reply.Lost {
		err = errInputGone
	}
	if err == nil && reply.Handles == nil {
		err = cicadapitch.NewNotRun("stage of "+string(s.Service)+": "+reply.Reason, max(reply.RetryAfter, fullRetry))
	}
	return stageEnd{stage, reply, err}
}

// pathAfter estimates the time of the stages that follow a stage.
func (t *task) pathAfter(stage int, pieces []int, wait func(batch.Shard) cicadapitch.Millis) cicadapitch.Millis {
	longest := cicadapitch.Millis(0)
	for j, s := range t.route.Stages {
		for _, a := range s.After {
			if a != stage || pieces[j] == 0 {
				continue
			}
			longest = max(longest, t.stageTime(s.Service, wait)+t.pathAfter(j, pieces, wait))
		}
	}
	return longest
}

// stageTime estimates one stage: its owner's queue, a call that is half full,
// and transit.
func (t *task) stageTime(name catalog.ServiceID, wait func(batch.Shard) cicadapitch.Millis) cicadapitch.Millis {
	s := t.view.Catalog.Services[name]
	if s == nil || s.Batch == nil {
		return 0
	}
	work := s.Batch.CallTime + cicadapitch.Millis(s.Batch.PieceTime*float64(s.Batch.Size)/2) + transitSlack
	least := cicadapitch.Millis(-1)
	for _, shard := range batch.ShardsOf(name, t.view.Endpoints(name)) {
		if w := wait(shard); least < 0 || w < least {
			least = w
		}
	}
	return work + max(least, 0)
}

// waitOf returns the wait that the owner of a shard told last.
func (t *task) waitOf(s batch.Shard) cicadapitch.Millis {
	w := t.waits[s.Key()]
	if len(w) < 2 {
		return 0
	}
	return w[min(max(t.priority, 0), len(w)-2)]
}

// lateWaitOf returns the wait of late work that the owner of a shard told last.
func (t *task) lateWaitOf(s batch.Shard) cicadapitch.Millis {
	w := t.waits[s.Key()]
	if len(w) == 0 {
		return 0
	}
	return w[len(w)-1]
}

const (
	// otherZoneWait is the wait that a stage takes upon itself to stay in its
	// zone, and heavyZoneWait where much would move.
	otherZoneWait cicadapitch.Millis = 30
	heavyZoneWait cicadapitch.Millis = 200
	// heavyStage is the size from which a move between zones is heavy.
	heavyStage cicadapitch.Bytes = 100_000
)

// shardFor chooses the shard of a service: the one of the wanted zone, unless
// another has a much shorter queue.
func (t *task) shardFor(s catalog.ServiceID, zone cicadapitch.ZoneID, moves cicadapitch.Bytes) batch.Shard {
	shards := batch.ShardsOf(s, t.g.mesh.View().Endpoints(s))
	best, least := shards[0], cicadapitch.Millis(-1)
	for _, shard := range shards {
		w := t.waitOf(shard)
		switch {
		case shard.Zone == zone:
		case moves >= heavyStage:
			w += heavyZoneWait
		default:
			w += otherZoneWait
		}
		if least < 0 || w < least {
			best, least = shard, w
		}
	}
	return best
}

// callOwner runs a stage at the owner of its service. Where that cannot be
// reached the next host in its order stands in, and at last this one.
func (t *task) callOwner(ctx context.Context, c StageCall) (StageReply, error) {
	begin := t.g.clock.Now()
	due, expire := c.DueIn, c.ExpireIn
	for tries := 0; ; {
		passed := t.g.clock.Now().Sub(begin)
		c.DueIn, c.ExpireIn, c.StandIn = due-passed, expire-passed, tries > 0
		h, self := t.ownerAfter(c.Shard, tries)
		var (
			reply StageReply
			err   error
		)
		if self {
			reply, err = t.g.owner.Run(ctx, c)
		} else {
			reply, err = peer.Call[StageCall, StageReply](ctx, t.g.mesh.Dialer(), h.Peers, callStage, c)
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

// holding is the set of stage results that a request holds.
type holding struct {
	t       *task
	mu      sync.Mutex
	handles map[int][]string
	zones   map[int]cicadapitch.ZoneID
	shards  map[int]batch.Shard
	gone    map[int]bool
}

func (h *holding) put(stage int, handles []string, zone cicadapitch.ZoneID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handles[stage], h.zones[stage] = handles, zone
}

func (h *holding) zone(stage int) cicadapitch.ZoneID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.zones[stage]
}

func (h *holding) setShard(stage int, s batch.Shard) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shards[stage] = s
}

func (h *holding) shard(stage int) batch.Shard {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shards[stage]
}

func (h *holding) get(stage int) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.handles[stage]
}

func (h *holding) freed(stage int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gone[stage]
}

func (h *holding) free(stage int) {
	h.mu.Lock()
	handles := h.handles[stage]
	delete(h.handles, stage)
	if h.gone == nil {
		h.gone = map[int]bool{}
	}
	h.gone[stage] = true
	h.mu.Unlock()
	if len(handles) > 0 {
		h.t.g.free(FreeCall{Shard: h.shard(stage), Handles: handles})
	}
}

// release gives up all results that are still held.
func (h *holding) release() {
	h.mu.Lock()
	var stages []int
	for s := range h.handles {
		stages = append(stages, s)
	}
	h.mu.Unlock()
	for _, s := range stages {
		h.free(s)
	}
}

// noteRefusal tells the owner of the first stage that the caller was refused.
func (t *task) noteRefusal() {
	if t.request.PieceKey == "" || len(t.route.Stages) == 0 {
		return
	}
	// A caller that comes back may be sent to another shard, so all are told.
	for _, shard := range batch.ShardsOf(t.route.Stages[0].Service, t.view.Endpoints(t.route.Stages[0].Service)) {
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

// tellOwner tells the owner of a service something that can be lost.
func (g *Gateway) tellOwner(s batch.Shard, here func(), there func(context.Context, *peer.Dialer, string) error) {
	owners := g.mesh.OwnersOf(s.Key())
	d := g.mesh.Dialer()
	if len(owners) == 0 || d == nil || g.mesh.IsSelf(owners[0]) {
		here()
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout.Duration())
		defer cancel()
		if err := there(ctx, d, owners[0].Peers); err != nil {
			g.log.Warn().Str("Service", s.Key()).Str("Owner", string(owners[0].ID)).Err(err).Msg("owner was not told")
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
