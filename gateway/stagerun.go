package gateway

import (
	"context"
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/catalog"
)

// Names of the calls between hosts, as sent on the wire.
const (
	callStage   = "stage"
	callFree    = "free"
	callRefused = "refused"
)

const (
	// maxStageOwners limits the hosts tried as the owner of a shard before this host
	// runs the stage itself.
	maxStageOwners = 2
	// transitTime is the estimated time between the end of a stage and the start of
	// the next.
	transitTime cicadapitch.Millis = 40
)

// stageOutcome is the end of one stage. err is set if the stage failed.
type stageOutcome struct {
	stage int
	reply StageReply
	err   error
}

// runStages runs the stages of the request, each as soon as its inputs are ready,
// and returns the results that the engine needs. zone is the likely zone of the
// engine. If a stage fails, all results are freed.
func (t *task) runStages(ctx context.Context, zone cicadapitch.ZoneID) (engineInputs, error) {
	held := &heldResults{t: t, handles: map[int][]string{}, zones: map[int]cicadapitch.ZoneID{}, shards: map[int]batch.Shard{}}
	pieces := t.request.Pieces
	if len(pieces) < len(t.route.Stages) {
		pieces = append(append([]int(nil), pieces...), make([]int, len(t.route.Stages)-len(pieces))...)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan stageOutcome, len(t.route.Stages))
	started := make([]bool, len(t.route.Stages))
	running := 0
	startReady := func() {
		for i := range t.route.Stages {
			if started[i] || pieces[i] == 0 || !t.inputsReady(i, pieces, held) {
				continue
			}
			started[i] = true
			running++
			refusedBefore := t.refusedBefore
			go func() { outcomes <- t.runStage(ctx, stageStart{i, refusedBefore, zone}, pieces, held) }()
		}
	}
	startReady()
	for running > 0 {
		outcome := <-outcomes
		running--
		if outcome.err != nil {
			cancel()
			held.release()
			go held.releaseRunning(outcomes, running)
			return engineInputs{}, outcome.err
		}
		t.refusedBefore = t.refusedBefore || outcome.reply.Returned
		held.put(outcome.stage, outcome.reply.Handles, outcome.reply.Zone)
		t.freeConsumed(pieces, held)
		startReady()
	}
	out := engineInputs{release: held.release}
	var maxBytes cicadapitch.Bytes
	for _, i := range t.route.Sinks(pieces) {
		handles := held.handlesOf(i)
		out.handles = append(out.handles, handles...)
		bytes := t.route.Stages[i].ResultBytes * cicadapitch.Bytes(len(handles))
		if bytes > maxBytes && bytes >= t.zoneMoveThreshold() {
			maxBytes, out.zone = bytes, held.zone(i)
		}
	}
	return out, nil
}

const (
	// bytesPerPromptToken is the size of stage results whose transfer between zones
	// costs as much as processing one prompt token again.
	bytesPerPromptToken cicadapitch.Bytes = 3500
	// minZoneMoveBytes is the size below which stage results do not affect the
	// choice of the engine.
	minZoneMoveBytes cicadapitch.Bytes = 400_000
)

// zoneMoveThreshold returns the size from which stage results cost more to transfer
// to another zone than the session's prompt costs to process again. From there on,
// an engine in their zone is better than the engine that has the prompt cached.
func (t *task) zoneMoveThreshold() cicadapitch.Bytes {
	n := len(t.request.Prompt)
	if n < 2 {
		return minZoneMoveBytes
	}
	return max(minZoneMoveBytes, bytesPerPromptToken*cicadapitch.Bytes(t.request.Prompt[n-2].Tokens))
}

// engineInputs are the stage results that a request passes to its engine.
type engineInputs struct {
	handles []string
	// zone is the zone of the largest results if it should decide the engine, else
	// empty.
	zone cicadapitch.ZoneID
	// release frees the results that are still held.
	release func()
}

// inputsReady reports whether all stages that a stage depends on have results.
func (t *task) inputsReady(stage int, pieces []int, held *heldResults) bool {
	for _, a := range t.route.Stages[stage].After {
		if pieces[a] > 0 && held.handlesOf(a) == nil {
			return false
		}
	}
	return true
}

// freeConsumed frees the results of stages whose dependent stages have all ended.
func (t *task) freeConsumed(pieces []int, held *heldResults) {
	for i := range t.route.Stages {
		if held.handlesOf(i) == nil {
			continue
		}
		hasConsumer, needed := false, false
		for j, s := range t.route.Stages {
			for _, a := range s.After {
				if a == i && pieces[j] > 0 {
					hasConsumer = true
					needed = needed || held.handlesOf(j) == nil && !held.isFreed(j)
				}
			}
		}
		if hasConsumer && !needed {
			held.free(i)
		}
	}
}

// stageStart holds the arguments with which runStage starts a stage.
type stageStart struct {
	// stage is the index of the stage in the route.
	stage         int
	refusedBefore bool
	// zone is the likely zone of the engine.
	zone cicadapitch.ZoneID
}

// runStage runs one stage through the owner of its shard. The error of the outcome
// is errInputLost if an input is lost, and a NotRun error if the owner refused.
func (t *task) runStage(ctx context.Context, start stageStart, pieces []int, held *heldResults) stageOutcome {
	stage, zone := start.stage, start.zone
	s := t.route.Stages[stage]
	now := t.g.clock.Now()
	firstEvent := t.expectedFirstEvent()
	downstream := t.downstreamTime(stage, pieces, t.queueWait)
	lateDownstream := downstream
	if now.Add(t.estimateStage(s.Service, t.queueWait)+downstream+firstEvent) > t.due {
		lateDownstream = t.downstreamTime(stage, pieces, t.lateQueueWait)
	}
	c := StageCall{
		Request: t.request.ID, Stage: stage, Pieces: pieces[stage],
		Zone: zone, ResultBytes: s.ResultBytes, Priority: t.priority, Returned: start.refusedBefore,
		DueIn:    t.due.Sub(now) - downstream - firstEvent,
		ExpireIn: t.abandonAt.Sub(now) - lateDownstream - firstEvent,
	}
	if slices.Contains(t.route.Sinks(pieces), stage) {
		c.MoveBytes = s.ResultBytes * cicadapitch.Bytes(c.Pieces)
	}
	for _, a := range s.After {
		inputs := held.handlesOf(a)
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
	c.Shard = t.chooseShard(s.Service, c.Zone, c.MoveBytes)
	reply, err := t.callOwner(ctx, &c)
	held.setShard(stage, c.Shard)
	took := t.g.clock.Now().Sub(now)
	t.g.log.Info().Str("Id", string(t.request.ID)).Int("Stage", stage).Str("Service", c.Shard.Key()).
		Int("Pieces", c.Pieces).Str("Key", c.Key).Int64("DueInMs", int64(c.DueIn)).Int64("ExpireInMs", int64(c.ExpireIn)).
		Int64("TookMs", int64(took)).Str("Reason", reply.Reason).Err(err).Msg("stage")
	t.g.metrics.Tagged(map[string]string{"Service": string(s.Service)}).Histogram("Stage", latencyBuckets).RecordDuration(took.Duration())
	if err == nil && reply.Lost {
		err = errInputLost
	}
	if err == nil && reply.Handles == nil {
		err = cicadapitch.NewNotRun("stage of "+string(s.Service)+": "+reply.Reason, max(reply.RetryAfter, fullRetryAfter))
	}
	return stageOutcome{stage, reply, err}
}

// downstreamTime estimates the time of the longest path of stages that depend on a
// stage, given the wait of each shard.
func (t *task) downstreamTime(stage int, pieces []int, wait func(batch.Shard) cicadapitch.Millis) cicadapitch.Millis {
	longest := cicadapitch.Millis(0)
	for j, s := range t.route.Stages {
		for _, a := range s.After {
			if a != stage || pieces[j] == 0 {
				continue
			}
			longest = max(longest, t.estimateStage(s.Service, wait)+t.downstreamTime(j, pieces, wait))
		}
	}
	return longest
}

// estimateStage estimates the time of one stage: the shortest queue wait of its
// shards, a call that is half full, and transit.
func (t *task) estimateStage(name catalog.ServiceID, wait func(batch.Shard) cicadapitch.Millis) cicadapitch.Millis {
	s := t.view.Catalog.Services[name]
	if s == nil || s.Batch == nil {
		return 0
	}
	work := s.Batch.CallTime + cicadapitch.Millis(s.Batch.PieceTime*float64(s.Batch.Size)/2) + transitTime
	shortest := cicadapitch.Millis(-1)
	for _, shard := range batch.ShardsOf(name, t.view) {
		if w := wait(shard); shortest < 0 || w < shortest {
			shortest = w
		}
	}
	return work + max(shortest, 0)
}

// queueWait returns the queue wait for the request's priority that the owner of a
// shard had reported before the stages started.
func (t *task) queueWait(s batch.Shard) cicadapitch.Millis { return t.priorityWait(t.queueWaits, s) }

// priorityWait returns the queue wait of a shard for the request's priority, or 0
// if its owner reported none.
func (t *task) priorityWait(waits map[string][]cicadapitch.Millis, s batch.Shard) cicadapitch.Millis {
	w := waits[s.Key()]
	if len(w) < 2 {
		return 0
	}
	return w[min(max(t.priority, 0), len(w)-2)]
}

// lateQueueWait returns the queue wait for late work that the owner of a shard had
// reported before the stages started.
func (t *task) lateQueueWait(s batch.Shard) cicadapitch.Millis {
	w := t.queueWaits[s.Key()]
	if len(w) == 0 {
		return 0
	}
	return w[len(w)-1]
}

// chooseShard chooses a shard of a service by the zone, the bytes to transfer to
// it and the latest queue waits.
func (t *task) chooseShard(s catalog.ServiceID, zone cicadapitch.ZoneID, moveBytes cicadapitch.Bytes) batch.Shard {
	waits := t.g.membership.Waits()
	shards := batch.ShardsOf(s, t.g.membership.View())
	return batch.ChooseShard(shards, zone, moveBytes, func(s batch.Shard) cicadapitch.Millis { return t.priorityWait(waits, s) })
}
