package gateway

import (
	"context"
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/catalog"
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
			returned := t.returned
			go func() { ends <- t.runStage(ctx, stageStart{i, returned, zone}, pieces, held) }()
		}
	}
	startReady()
	for running > 0 {
		end := <-ends
		running--
		if end.err != nil {
			cancel()
			held.release()
			go held.releaseRest(ends, running)
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

// stageStart is what a stage is begun with.
type stageStart struct {
	stage    int
	returned bool
	zone     cicadapitch.ZoneID
}

func (t *task) runStage(ctx context.Context, start stageStart, pieces []int, held *holding) stageEnd {
	stage, zone := start.stage, start.zone
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
		Zone: zone, ResultBytes: s.ResultBytes, Priority: t.priority, Returned: start.returned,
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
	reply, err := t.callOwner(ctx, &c)
	held.setShard(stage, c.Shard)
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
	for _, shard := range batch.ShardsOf(name, t.view) {
		if w := wait(shard); least < 0 || w < least {
			least = w
		}
	}
	return work + max(least, 0)
}

// waitOf returns the wait that the owner of a shard had told when the request
// began.
func (t *task) waitOf(s batch.Shard) cicadapitch.Millis { return t.waitIn(t.waits, s) }

// waitIn returns the wait of this request's priority that the owner of a shard
// told.
func (t *task) waitIn(waits map[string][]cicadapitch.Millis, s batch.Shard) cicadapitch.Millis {
	w := waits[s.Key()]
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

// shardFor chooses the shard of a service by the waits that its owners tell now.
func (t *task) shardFor(s catalog.ServiceID, zone cicadapitch.ZoneID, moves cicadapitch.Bytes) batch.Shard {
	waits := t.g.mesh.Waits()
	shards := batch.ShardsOf(s, t.g.mesh.View())
	return batch.ChooseShard(shards, zone, moves, func(s batch.Shard) cicadapitch.Millis { return t.waitIn(waits, s) })
}
