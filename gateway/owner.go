package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// callTimeoutFactor times the expected duration is the timeout of a call to a
	// stage endpoint. The planner retries the pieces elsewhere long before.
	callTimeoutFactor = 12
	// inputFetchTime is how long after its start a call has fetched its inputs:
	// a few megabytes over gigabit links. It assumes that the endpoint starts the
	// call at once.
	inputFetchTime cicadapitch.Millis = 100
	// freeBatchDelay is how long results to free are collected before they are sent
	// to their endpoint in one call.
	freeBatchDelay cicadapitch.Millis = 15
)

// QueueWaits are the expected queue waits of a shard until the start of a call: one
// per priority, indexed by the priority, and as the last element the wait of late
// work.
type QueueWaits = []cicadapitch.Millis

// reportedPriorities is the number of priorities in QueueWaits.
const reportedPriorities = 4

// ShardOwner runs the shards of stage services that this host owns. Each shard has
// a batch.Planner, whose commands ShardOwner executes. It is safe for concurrent
// use.
type ShardOwner struct {
	endpoints *platform.EndpointClient
	clock     cicadapitch.Clock
	log       zerolog.Logger
	metrics   tally.Scope

	// owns reports whether this host is the current owner of a shard.
	owns func(batch.Shard) bool
	// onFetched, if set, is called with the results that a call has fetched as its
	// inputs.
	onFetched func(FreeCall)

	mu      sync.Mutex
	view    *fleet.View
	lastJob batch.JobID
	// runners are created by the first call for their shard.
	runners map[batch.Shard]*shardRunner
}

// shardRunner executes the planner's commands for one shard of a stage service.
type shardRunner struct {
	owner *ShardOwner
	shard batch.Shard
	// mu guards the fields below and serializes the calls to planner.
	mu      sync.Mutex
	planner *batch.Planner
	// waiters receive the outcome of each job.
	waiters map[batch.JobID]chan batch.Outcome
	timer   *time.Timer
	// pendingFree holds the results to free at each endpoint.
	pendingFree map[cicadapitch.EndpointID][]string
	// obsolete is true while the service is no longer divided into this shard.
	obsolete bool
	view     *fleet.View
}

func newShardOwner(e *platform.EndpointClient, clock cicadapitch.Clock, log zerolog.Logger, metrics tally.Scope) *ShardOwner {
	return &ShardOwner{
		endpoints: e, clock: clock, log: log, metrics: metrics,
		runners: map[batch.Shard]*shardRunner{},
	}
}

func (o *ShardOwner) setView(v *fleet.View) {
	o.mu.Lock()
	o.view = v
	list := make([]*shardRunner, 0, len(o.runners))
	for _, s := range o.runners {
		list = append(list, s)
	}
	o.mu.Unlock()
	for _, s := range list {
		s.setView(v)
	}
}

// runner returns the runner of a shard and creates it if needed. It returns nil
// if the catalog has no such stage service.
func (o *ShardOwner) runner(shard batch.Shard) *shardRunner {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.runners[shard]; s != nil {
		return s
	}
	if o.view == nil || o.view.Catalog == nil {
		return nil
	}
	spec := o.view.Catalog.Services[shard.Service]
	if spec == nil || spec.Batch == nil {
		return nil
	}
	s := &shardRunner{
		owner: o, shard: shard, planner: batch.NewPlanner(*spec.Batch),
		waiters:     map[batch.JobID]chan batch.Outcome{},
		pendingFree: map[cicadapitch.EndpointID][]string{},
	}
	s.timer = time.AfterFunc(time.Hour, s.onTimer)
	s.setView(o.view)
	o.runners[shard] = s
	return s
}

// RunStage runs one stage of a request and blocks until it has ended. It returns a
// NotRun error if the stage service is not configured at this host, or the cause
// of ctx.
func (o *ShardOwner) RunStage(ctx context.Context, c StageCall) (StageReply, error) {
	s := o.runner(c.Shard)
	if s == nil {
		return StageReply{}, cicadapitch.NewNotRun("stage service "+c.Shard.Key()+" is not configured here", notReadyRetryAfter)
	}
	o.mu.Lock()
	o.lastJob++
	id := o.lastJob
	o.mu.Unlock()
	now := o.clock.Now()
	done := make(chan batch.Outcome, 1)
	s.submit(now, batch.Job{
		ID: id, Request: c.Request, Stage: c.Stage, Pieces: c.Pieces, Key: c.Key, Inputs: c.Inputs,
		InputShards: c.InputShards, Zone: c.Zone, MoveBytes: c.MoveBytes, ResultBytes: c.ResultBytes, Priority: c.Priority, Retried: c.Returned, OwnerUnreachable: c.StandIn,
		Due: now.Add(c.DueIn), Expire: now.Add(c.ExpireIn),
	}, done)
	select {
	case out := <-done:
		return StageReply{Handles: out.Handles, Zone: out.Zone, Lost: out.InputLost, Moved: out.OwnerChanged, Returned: out.Retried, Reason: out.Reason, RetryAfter: out.RetryAfter}, nil
	case <-ctx.Done():
		s.cancel(id, done)
		return StageReply{}, context.Cause(ctx)
	}
}

// FreeResults frees results. Where c.IfNeeded is set, it only marks them as fetched, so
// that they are freed when their endpoint lacks room.
func (o *ShardOwner) FreeResults(c FreeCall) {
	s := o.runner(c.Shard)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.IfNeeded {
		s.planner.RecordFetched(c.Handles)
		s.applyPlan(o.clock.Now())
		return
	}
	s.queueFree(c.Handles)
}

// RecordRefusal records that a caller was refused, so that its next request gets
// preference.
func (o *ShardOwner) RecordRefusal(c RefusedCall) {
	s := o.runner(c.Shard)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.RecordRefusal(o.clock.Now(), c.Key)
}

// Waits returns the queue waits by shard key, for the shards that have work at
// this host.
func (o *ShardOwner) Waits() map[string]QueueWaits {
	now := o.clock.Now()
	out := map[string]QueueWaits{}
	o.mu.Lock()
	defer o.mu.Unlock()
	for shard, s := range o.runners {
		s.mu.Lock()
		if !s.planner.Idle() {
			w := make(QueueWaits, reportedPriorities, reportedPriorities+1)
			for p := range w {
				w[p] = s.planner.EstimateWait(now, p)
			}
			w = append(w, s.planner.EstimateLateWait(now))
			out[shard.Key()] = w
		}
		s.mu.Unlock()
	}
	return out
}

// setView applies the endpoints and the batch settings of a view to the planner.
func (s *shardRunner) setView(v *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	if v.Catalog != nil {
		if spec := v.Catalog.Services[s.shard.Service]; spec != nil && spec.Batch != nil {
			s.planner.SetSpec(*spec.Batch)
		}
	}
	s.obsolete = !slices.Contains(batch.ShardsOf(s.shard.Service, v), s.shard)
	var list []catalog.Endpoint
	for _, e := range v.Endpoints(s.shard.Service) {
		if s.shard.Contains(e.Endpoint) {
			list = append(list, e.Endpoint)
		}
	}
	s.planner.SetEndpoints(list)
}

// submit adds a job whose outcome is sent to done.
func (s *shardRunner) submit(now cicadapitch.Instant, j batch.Job, done chan batch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters[j.ID] = done
	s.planner.Submit(now, j)
	s.applyPlan(now)
}

// cancel cancels a job, and frees its results if it has just ended.
func (s *shardRunner) cancel(id batch.JobID, done <-chan batch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case out := <-done:
		s.queueFree(out.Handles)
	default:
	}
	delete(s.waiters, id)
	s.planner.Cancel(id)
	s.applyPlan(s.owner.clock.Now())
}

// onTimer sends the pending frees, hands the jobs over if another host owns the
// shard, and runs the planner.
func (s *shardRunner) onTimer() {
	// owns locks the membership, which calls setView with its lock held, and setView
	// locks mu. Calling owns under mu would deadlock.
	owns := s.owner.owns == nil || s.owner.owns(s.shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, handles := range s.pendingFree {
		delete(s.pendingFree, id)
		s.sendFree(id, handles)
	}
	if !owns || s.obsolete {
		s.planner.HandOver()
	}
	s.applyPlan(s.owner.clock.Now())
}

// applyPlan runs the planner and executes its commands: it delivers outcomes,
// starts calls, queues frees and resets the timer. The caller holds mu.
func (s *shardRunner) applyPlan(now cicadapitch.Instant) {
	calls, done, orphans, next := s.planner.Plan(now)
	for _, out := range done {
		if ch := s.waiters[out.Job]; ch != nil {
			ch <- out
			delete(s.waiters, out.Job)
		}
	}
	for _, c := range calls {
		s.logCall(c)
		go s.runCall(c, now)
		if s.owner.onFetched != nil {
			time.AfterFunc(inputFetchTime.Duration(), func() { s.reportFetched(c.ID) })
		}
	}
	s.queueFree(orphans)
	if !s.planner.Idle() || len(s.pendingFree) > 0 {
		s.timer.Reset(next.Duration())
	}
}

// logCall logs the start of a call with the ids of its requests.
func (s *shardRunner) logCall(c batch.Call) {
	ids := make([]string, 0, len(c.Pieces))
	for _, ref := range c.Pieces {
		if n := len(ids); n == 0 || ids[n-1] != string(ref.Job.Request) {
			ids = append(ids, string(ref.Job.Request))
		}
	}
	s.owner.log.Info().Str("Service", s.shard.Key()).Uint64("Call", uint64(c.ID)).Str("Endpoint", string(c.Endpoint.ID)).
		Int64("EntryRevision", int64(c.Endpoint.Revision)).Int("Pieces", len(c.Pieces)).Strs("Ids", ids).
		Int64("ExpectedMs", int64(c.ExpectedDuration)).Int("Queued", c.Queued).Int64("RoomUsed", int64(c.RoomUsed)).Msg("stage call")
}

// runCall sends a call to its endpoint and reports the results to the planner. now
// is when the call was planned.
func (s *shardRunner) runCall(c batch.Call, now cicadapitch.Instant) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeoutFactor*c.ExpectedDuration.Duration())
	defer cancel()
	pieces := make([]platform.Piece, len(c.Pieces))
	for i, ref := range c.Pieces {
		pieces[i] = platform.Piece{
			Request: ref.Job.Request, Stage: ref.Job.Stage, Index: ref.Index,
			Timeout: max(ref.Job.Expire.Sub(now), 1), Key: ref.Job.Key, Inputs: ref.Job.Inputs,
		}
	}
	results, err := s.owner.endpoints.RunPieces(ctx, c.Endpoint, pieces)
	failure := batch.NoFailure
	if err != nil {
		failure = batch.CallFailed
		if cicadapitch.KindOf(err) == cicadapitch.NotRun && cicadapitch.AsError(err).RetryAfter > 0 {
			failure = batch.CallRefused
		}
	}
	out := make([]batch.PieceResult, len(results))
	made, full := 0, 0
	for i, r := range results {
		out[i] = batch.PieceResult{Handle: r.Handle, InputLost: r.InputMissing(), Expired: r.Expired(), NoRoom: r.AtCapacity(), Failed: r.Failed()}
		if r.Handle != "" {
			made++
		}
		if r.AtCapacity() {
			full++
		}
	}
	s.owner.log.Info().Str("Service", s.shard.Key()).Uint64("Call", uint64(c.ID)).Str("Endpoint", string(c.Endpoint.ID)).
		Int("Pieces", len(c.Pieces)).Int("Made", made).Int("NoRoom", full).Int64("ExpectedMs", int64(c.ExpectedDuration)).
		Int64("TookMs", int64(s.owner.clock.Now().Sub(now))).Err(err).Msg("stage call ended")
	s.owner.metrics.Tagged(map[string]string{"Service": s.shard.Key()}).Counter("StageCalls").Inc(1)
	s.owner.metrics.Tagged(map[string]string{"Service": s.shard.Key()}).Counter("StagePieces").Inc(int64(len(c.Pieces)))
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.owner.clock.Now()
	s.planner.FinishCall(at, c.ID, out, failure)
	s.applyPlan(at)
}

// reportFetched notifies the owners of the shards that hold the inputs of a call
// that the call has fetched them.
func (s *shardRunner) reportFetched(id batch.CallID) {
	s.mu.Lock()
	inputs := s.planner.FetchedInputs(id)
	s.mu.Unlock()
	for shard, handles := range inputs {
		s.owner.onFetched(FreeCall{Shard: shard, Handles: handles, IfNeeded: true})
	}
}

// queueFree queues results to be freed at their endpoints. The caller holds mu.
func (s *shardRunner) queueFree(handles []string) {
	if len(handles) == 0 {
		return
	}
	located, unknown := s.planner.Locate(handles)
	for _, h := range unknown {
		if id, ok := s.endpointOf(h); ok {
			located[id] = append(located[id], h)
		}
	}
	for id, list := range located {
		if len(s.pendingFree[id]) == 0 {
			s.timer.Reset(freeBatchDelay.Duration())
		}
		s.pendingFree[id] = append(s.pendingFree[id], list...)
	}
}

// endpointOf finds the endpoint of a result by the address in its handle. The
// planner does not know results that an earlier owner of the shard requested.
func (s *shardRunner) endpointOf(handle string) (cicadapitch.EndpointID, bool) {
	address := platform.HandleAddress(handle)
	for _, e := range s.view.Endpoints(s.shard.Service) {
		if e.Address == address {
			return e.ID, true
		}
	}
	return "", false
}

// sendFree frees results at their endpoint in the background. The caller holds mu.
func (s *shardRunner) sendFree(id cicadapitch.EndpointID, handles []string) {
	e, ok := s.planner.Endpoint(id)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout.Duration())
		defer cancel()
		if err := s.owner.endpoints.FreeResults(ctx, e, handles); err != nil {
			s.owner.log.Warn().Str("Endpoint", string(id)).Int("Results", len(handles)).Err(err).
				Msg("results were not freed at the endpoint; they will expire")
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.planner.RecordFreed(handles)
		s.applyPlan(s.owner.clock.Now())
	}()
}
