package gateway

import (
	"context"
	"errors"
	"slices"

	"github.com/samber/lo"

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
	// maxEndedOwners limits the owners that a call goes past because their processes have
	// ended. A refused connection costs little time.
	maxEndedOwners = 16
	// stageHandoverTime is the estimated time from the end of a stage to the start of
	// the next one.
	stageHandoverTime cicadapitch.Millis = 40
)

// stageOutcome is the end of one stage. err is set if the stage failed.
type stageOutcome struct {
	stage int
	reply StageReply
	err   error
}

// runStages runs the stages of the request, each as soon as its inputs are ready,
// and returns the results that the engine needs. Stages without pieces are skipped.
// zone is the likely zone of the engine. If a stage fails, all results are freed.
func (p *proxiedRequest) runStages(ctx context.Context, zone cicadapitch.ZoneID) (engineInputs, error) {
	held := &heldResults{request: p, handles: map[int][]string{}, zones: map[int]cicadapitch.ZoneID{}, shards: map[int]batch.Shard{}}
	pieces, waits := p.pieceCounts(), p.g.membership.Waits()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan stageOutcome, len(p.route.Stages))
	started := make([]bool, len(p.route.Stages))
	running := 0
	startReady := func() {
		for i := range p.route.Stages {
			if started[i] || pieces[i] == 0 || !p.inputsReady(i, pieces, held) {
				continue
			}
			started[i] = true
			running++
			args := stageArgs{i, p.refusedBefore, zone, p.takeInputs(i, held), waits}
			go func() { outcomes <- p.runStage(ctx, args, pieces, held) }()
		}
	}
	startReady()
	for running > 0 {
		outcome := <-outcomes
		running--
		if outcome.err != nil {
			held.countUnused(unusedCause(ctx, outcome.err))
			cancel()
			held.freeAll()
			go held.freeLateResults(outcomes, running)
			return engineInputs{}, outcome.err
		}
		p.refusedBefore = p.refusedBefore || outcome.reply.Returned
		held.setResults(outcome.stage, outcome.reply.Handles, outcome.reply.Zone)
		p.freeConsumed(pieces, held)
		startReady()
	}
	out := engineInputs{freeAll: held.freeAll, markFetched: held.markFetched}
	var maxBytes cicadapitch.Bytes
	for _, i := range p.route.FinalStages(pieces) {
		handles := held.handlesOf(i)
		out.handles = append(out.handles, handles...)
		bytes := p.route.Stages[i].ResultBytes * cicadapitch.Bytes(len(handles))
		if bytes > maxBytes && bytes >= p.zoneMoveThreshold() {
			maxBytes, out.zone = bytes, held.zoneOf(i)
		}
	}
	return out, nil
}

// unusedCause says why the stage results of a request are of no use after err.
func unusedCause(ctx context.Context, err error) string {
	var refusal stageRefusal
	switch {
	case errors.Is(err, errInputLost):
		return "InputLost"
	case errors.As(err, &refusal):
		return "StageRefused"
	case ctx.Err() != nil:
		return "RequestEnded"
	}
	return "Failed"
}

// pieceCounts returns the number of pieces of each stage of the route.
func (p *proxiedRequest) pieceCounts() []int {
	pieces := p.request.Pieces
	if len(pieces) < len(p.route.Stages) {
		pieces = append(append([]int(nil), pieces...), make([]int, len(p.route.Stages)-len(pieces))...)
	}
	return pieces
}

const (
	// transferBytesPerPromptToken is the number of bytes whose transfer between zones
	// costs as much as processing one prompt token again.
	transferBytesPerPromptToken cicadapitch.Bytes = 3500
	// minBytesForZoneChoice is the size below which stage results do not affect the
	// zone of the engine.
	minBytesForZoneChoice cicadapitch.Bytes = 400_000
)

// zoneMoveThreshold returns the size from which stage results cost more to transfer
// to another zone than the session's prompt costs to process again. Above this size,
// the request prefers an engine in the zone of the results to the engine that has
// cached the session's prompt.
func (p *proxiedRequest) zoneMoveThreshold() cicadapitch.Bytes {
	// The session shares all prompt parts but the last; see Request.Session.
	n := len(p.request.Prompt)
	if n < 2 {
		return minBytesForZoneChoice
	}
	return max(minBytesForZoneChoice, transferBytesPerPromptToken*cicadapitch.Bytes(p.request.Prompt[n-2].Tokens))
}

// engineInputs are the stage results that a request passes to its engine.
type engineInputs struct {
	handles []string
	// zone is the zone in which the engine should be, that of the largest results. It
	// is empty if the results are too small to matter.
	zone cicadapitch.ZoneID
	// freeAll frees all results that are still held, markFetched lets their owners free them where
	// memory is short.
	freeAll, markFetched func()
}

// inputsReady reports whether all stages that a stage depends on have results.
func (p *proxiedRequest) inputsReady(stage int, pieces []int, held *heldResults) bool {
	for _, dep := range p.route.Stages[stage].After {
		if pieces[dep] > 0 && held.handlesOf(dep) == nil {
			return false
		}
	}
	return true
}

// freeConsumed frees the results of stages whose dependent stages have all ended.
func (p *proxiedRequest) freeConsumed(pieces []int, held *heldResults) {
	for i := range p.route.Stages {
		if held.handlesOf(i) == nil {
			continue
		}
		hasConsumer, needed := false, false
		for j, s := range p.route.Stages {
			for _, dep := range s.After {
				if dep == i && pieces[j] > 0 {
					hasConsumer = true
					needed = needed || held.handlesOf(j) == nil && !held.isFreed(j)
				}
			}
		}
		// Results without a dependent stage are inputs of the engine and are kept.
		if hasConsumer && !needed {
			held.free(i)
		}
	}
}

// stageArgs identifies the stage that runStage runs and holds what was known when the
// stage started.
type stageArgs struct {
	// stage is the index of the stage in the route.
	stage int
	// refusedBefore is true if the caller is retrying after a refusal.
	refusedBefore bool
	// zone is the likely zone of the engine.
	zone   cicadapitch.ZoneID
	inputs []stageInput
	// waits are the queue waits by shard key that the owners had reported before the stages
	// started.
	waits map[string]QueueWaits
}

// stageInput holds the results of one stage that another needs.
type stageInput struct {
	stage   int
	handles []string
	zone    cicadapitch.ZoneID
	shard   batch.Shard
}

// takeInputs returns the results that a stage needs. They have to be taken when the stage is found
// to be ready: if another stage fails, they are freed.
func (p *proxiedRequest) takeInputs(stage int, held *heldResults) []stageInput {
	return lo.Map(p.route.Stages[stage].After, func(dep, _ int) stageInput {
		return stageInput{dep, held.handlesOf(dep), held.zoneOf(dep), held.shardOf(dep)}
	})
}

// runStage runs one stage through the owner of its shard. The error of the outcome
// is errInputLost if an input is lost, and a NotRun error if the owner refused.
func (p *proxiedRequest) runStage(ctx context.Context, args stageArgs, pieces []int, held *heldResults) stageOutcome {
	stage, zone := args.stage, args.zone
	s := p.route.Stages[stage]
	now := p.g.clock.Now()
	firstEvent := p.expectedFirstEvent()
	reported := p.reportedWait(args.waits)
	downstream := p.downstreamTime(stage, pieces, reported)
	lateDownstream := downstream
	if late := now.Add(p.estimateStageTime(s.Service, reported) + downstream + firstEvent).Sub(p.due); late > 0 {
		lateDownstream = p.downstreamTime(stage, pieces, p.reportedLateWait(args.waits, late))
	}
	c := StageCall{
		Request: p.request.ID, Stage: stage, Pieces: pieces[stage],
		Zone: zone, ResultBytes: s.ResultBytes, Priority: p.rank, Returned: args.refusedBefore, Resumed: p.resumed(), Customer: p.customer,
		DueIn:    p.due.Sub(now) - downstream - firstEvent,
		ExpireIn: p.abandonAt.Sub(now) - lateDownstream - firstEvent,
	}
	if slices.Contains(p.route.FinalStages(pieces), stage) {
		c.MoveBytes = s.ResultBytes * cicadapitch.Bytes(c.Pieces)
	}
	for _, in := range args.inputs {
		c.Inputs = append(c.Inputs, in.handles...)
		c.InputShards = append(c.InputShards, in.shard)
		// Each piece fetches all inputs.
		bytes := p.route.Stages[in.stage].ResultBytes * cicadapitch.Bytes(len(in.handles)*c.Pieces)
		if bytes > c.MoveBytes {
			c.MoveBytes, c.Zone = bytes, in.zone
		}
	}
	if len(c.Inputs) == 0 {
		c.Key = p.request.PieceKey
	}
	c.Shard = p.chooseShard(s.Service, c.Zone, c.MoveBytes)
	reply, err := p.callOwner(ctx, &c)
	held.setShard(stage, c.Shard)
	took := p.g.clock.Now().Sub(now)
	p.g.log.Info().Str("Id", string(p.request.ID)).Int("Stage", stage).Str("Service", c.Shard.Key()).
		Int("Pieces", c.Pieces).Int("Rank", c.Priority).Str("Key", c.Key).Int64("DueInMs", int64(c.DueIn)).Int64("ExpireInMs", int64(c.ExpireIn)).
		Int64("TookMs", int64(took)).Str("Reason", reply.Reason).Err(err).Msg("stage")
	p.g.metrics.Tagged(map[string]string{"Service": string(s.Service)}).Histogram("Stage", latencyBuckets).RecordDuration(took.Duration())
	if err == nil && reply.Lost {
		err = errInputLost
	}
	if err == nil && reply.Handles == nil {
		err = stageRefusal{cicadapitch.NewNotRun("stage of "+string(s.Service)+": "+reply.Reason, max(reply.RetryAfter, fullRetryAfter))}
	}
	return stageOutcome{stage, reply, err}
}

// downstreamTime estimates the time of the longest path of stages that depend on a
// stage. wait returns the expected queue wait of a shard.
func (p *proxiedRequest) downstreamTime(stage int, pieces []int, wait func(batch.Shard) cicadapitch.Millis) cicadapitch.Millis {
	longest := cicadapitch.Millis(0)
	for j, s := range p.route.Stages {
		for _, dep := range s.After {
			if dep != stage || pieces[j] == 0 {
				continue
			}
			longest = max(longest, p.estimateStageTime(s.Service, wait)+p.downstreamTime(j, pieces, wait))
		}
	}
	return longest
}

// estimateStages estimates the time of all stages.
func (p *proxiedRequest) estimateStages() cicadapitch.Millis {
	if len(p.route.Stages) == 0 {
		return 0
	}
	reported := p.reportedWait(p.g.membership.Waits())
	pieces, longest := p.pieceCounts(), cicadapitch.Millis(0)
	for i, s := range p.route.Stages {
		if pieces[i] > 0 && len(s.After) == 0 {
			longest = max(longest, p.estimateStageTime(s.Service, reported)+p.downstreamTime(i, pieces, reported))
		}
	}
	return longest
}

// estimateStageTime estimates the time of one stage: the shortest queue wait of its
// shards, a call that is half full, and stageHandoverTime.
func (p *proxiedRequest) estimateStageTime(name catalog.ServiceID, wait func(batch.Shard) cicadapitch.Millis) cicadapitch.Millis {
	s := p.view.Catalog.Services[name]
	if s == nil || s.Batch == nil {
		return 0
	}
	work := s.Batch.CallTime + cicadapitch.Millis(s.Batch.PieceTime*float64(s.Batch.MaxPieces)/2) + stageHandoverTime
	shortest := cicadapitch.Millis(-1)
	for _, shard := range batch.ShardsOf(name, p.view) {
		if w := wait(shard); shortest < 0 || w < shortest {
			shortest = w
		}
	}
	return work + max(shortest, 0)
}

// reportedWait returns the queue wait for the request's priority that the owner of a
// shard had reported in waits, or 0 if it reported none. Streams that are taken up again do
// not wait behind others.
func (p *proxiedRequest) reportedWait(waits map[string]QueueWaits) func(batch.Shard) cicadapitch.Millis {
	return func(s batch.Shard) cicadapitch.Millis {
		if p.resumed() {
			return 0
		}
		return p.waitForPriority(waits, s)
	}
}

// waitForPriority returns the queue wait of a shard for the request's priority from
// waits, or 0 if waits does not have the shard.
func (p *proxiedRequest) waitForPriority(waits map[string][]cicadapitch.Millis, s batch.Shard) cicadapitch.Millis {
	w := waits[s.Key()]
	if len(w) < 2 {
		return 0
	}
	return w[min(p.rank, len(w)-2)]
}

// lateWaitFactor is the wait of late work that keeps its place in its priority level, as a multiple of that of work
// on time there. Owners report only the latter.
const lateWaitFactor = 2

// reportedLateWait is reportedWait for a request that is going to miss its latency objective by the given
// time, so that the later stages queue it as late work.
func (p *proxiedRequest) reportedLateWait(waits map[string]QueueWaits, late cicadapitch.Millis) func(batch.Shard) cicadapitch.Millis {
	return func(s batch.Shard) cicadapitch.Millis {
		w := waits[s.Key()]
		if len(w) == 0 || p.resumed() {
			return 0
		}
		if late <= batch.Grace(p.due, p.abandonAt) {
			return min(lateWaitFactor*p.waitForPriority(waits, s), w[len(w)-1])
		}
		return w[len(w)-1]
	}
}

// chooseShard chooses a shard of a service by the zone, the bytes to transfer to
// it and the latest queue waits.
func (p *proxiedRequest) chooseShard(s catalog.ServiceID, zone cicadapitch.ZoneID, moveBytes cicadapitch.Bytes) batch.Shard {
	waits := p.g.membership.Waits()
	shards := batch.ShardsOf(s, p.g.membership.View())
	return batch.ChooseShard(shards, zone, moveBytes, func(s batch.Shard) cicadapitch.Millis { return p.waitForPriority(waits, s) })
}
