package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/batch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/placement"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// callTimeoutFactor multiplies the expected duration of a call to a stage endpoint
	// to give its timeout, which is at least minSilenceTimeout. The planner retries overdue
	// pieces elsewhere before that.
	callTimeoutFactor = 12
	// inputFetchTime is the time after which a started call is assumed to have fetched
	// its inputs, a few megabytes over gigabit links. The endpoint is assumed to start
	// the call at once.
	inputFetchTime cicadapitch.Millis = 100
	// freeBatchDelay is how long handles are collected before one call frees their
	// results at the endpoint.
	freeBatchDelay cicadapitch.Millis = 15
)

// QueueWaits holds the expected times from the submission of a job to a shard until
// the start of its call: element p for priority p, and as the last element the time
// for late work, which can no longer meet its latency objective.
type QueueWaits = []cicadapitch.Millis

// reportedPriorities is the number of priorities in QueueWaits.
const reportedPriorities = catalog.Ranks

// ShardRunners runs the shards of stage services that this host owns. Each shard has
// a batch.Planner, whose commands its shardRunner executes. ShardRunners is safe for
// concurrent use.
type ShardRunners struct {
	endpoints *platform.EndpointClient
	clock     cicadapitch.Clock
	log       zerolog.Logger
	metrics   tally.Scope

	// rollouts holds the rollouts of services.
	rollouts *rollouts
	// limits holds the limits that endpoints have named.
	limits *placement.RateLimits
	// owns reports whether this host is the current owner of a shard.
	owns func(batch.Shard) bool
	// onFetched, if set, is called with the inputs that a call has fetched, once for
	// each shard that holds any. The inputs are marked as fetched, not freed.
	onFetched func(FreeCall)

	// mu guards the fields below.
	mu        sync.Mutex
	view      *fleet.View
	lastJobID batch.JobID
	// runners are created by the first call for their shard.
	runners map[batch.Shard]*shardRunner
}

// shardRunner executes the planner's commands for one shard of a stage service.
type shardRunner struct {
	shards *ShardRunners
	shard  batch.Shard
	// mu guards the fields below and serializes the calls to planner.
	mu      sync.Mutex
	planner *batch.Planner
	// waiters holds the channel that receives the outcome of each job, with a buffer
	// of one.
	waiters map[batch.JobID]chan batch.Outcome
	timer   *time.Timer
	// pendingFree holds the handles of the results to free, by endpoint, until the
	// timer fires.
	pendingFree map[cicadapitch.EndpointID][]string
	// freedAt is when results were last freed at an endpoint.
	freedAt map[cicadapitch.EndpointID]cicadapitch.Instant
	// obsolete is true while the service is no longer divided into this shard.
	obsolete bool
	view     *fleet.View
	// inUse holds the endpoints of the shard, running the number of calls at each that has any.
	inUse   []fleet.Endpoint
	running map[cicadapitch.EndpointID]int
}

func newShardRunners(e *platform.EndpointClient, limits *placement.RateLimits, clock cicadapitch.Clock, log zerolog.Logger, metrics tally.Scope) *ShardRunners {
	return &ShardRunners{
		endpoints: e, limits: limits, clock: clock, log: log, metrics: metrics,
		runners: map[batch.Shard]*shardRunner{},
	}
}

func (s *ShardRunners) setView(v *fleet.View) {
	s.mu.Lock()
	s.view = v
	runners := make([]*shardRunner, 0, len(s.runners))
	for _, r := range s.runners {
		runners = append(runners, r)
	}
	s.mu.Unlock()
	for _, r := range runners {
		r.setView(v)
	}
}

// runner returns the runner of a shard and creates it if needed. It returns nil
// if the catalog has no such stage service.
func (s *ShardRunners) runner(shard batch.Shard) *shardRunner {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.runners[shard]; r != nil {
		return r
	}
	if s.view == nil || s.view.Catalog == nil {
		return nil
	}
	spec := s.view.Catalog.Services[shard.Service]
	if spec == nil || spec.Batch == nil {
		return nil
	}
	// The order under contention made an earlier deployment worse; see docs/design/stages.md.
	r := &shardRunner{
		shards: s, shard: shard, planner: batch.NewPlanner(*spec.Batch, batch.WithoutContention()),
		waiters:     map[batch.JobID]chan batch.Outcome{},
		pendingFree: map[cicadapitch.EndpointID][]string{},
		freedAt:     map[cicadapitch.EndpointID]cicadapitch.Instant{},
		running:     map[cicadapitch.EndpointID]int{},
	}
	r.timer = time.AfterFunc(time.Hour, r.onTimer)
	r.setView(s.view)
	s.runners[shard] = r
	return r
}

// RunStage runs one stage of a request and blocks until it has ended. It returns a
// NotRun error if the stage service is not configured at this host, or the cause
// of ctx. If the stage fails, the error is nil, and the reply has a Reason but no
// Handles.
func (s *ShardRunners) RunStage(ctx context.Context, c StageCall) (StageReply, error) {
	r := s.runner(c.Shard)
	if r == nil {
		return StageReply{}, cicadapitch.NewNotRun("stage service "+c.Shard.Key()+" is not configured here", notReadyRetryAfter)
	}
	s.mu.Lock()
	s.lastJobID++
	id := s.lastJobID
	s.mu.Unlock()
	now := s.clock.Now()
	done := make(chan batch.Outcome, 1)
	r.submit(now, batch.Job{
		ID: id, Request: c.Request, Stage: c.Stage, Pieces: c.Pieces, Key: c.Key, Inputs: c.Inputs,
		InputShards: c.InputShards, Zone: c.Zone, MoveBytes: c.MoveBytes, ResultBytes: c.ResultBytes, Priority: c.Priority, Retried: c.Returned && !c.Resumed, Resumed: c.Resumed, Customer: c.Customer, OwnerUnreachable: c.StandIn,
		DueAt: now.Add(c.DueIn), ExpiresAt: now.Add(c.ExpireIn),
	}, done)
	select {
	case out := <-done:
		return StageReply{Handles: out.Handles, Zone: out.Zone, Lost: out.InputLost, Moved: out.OwnerChanged, Returned: out.Retried, Reason: out.Reason, RetryAfter: out.RetryAfter}, nil
	case <-ctx.Done():
		r.cancel(id, done)
		return StageReply{}, context.Cause(ctx)
	}
}

// callTime returns the expected time of a call that makes the pieces of c. Queued pieces are handed over
// to the next owner, so their wait does not count.
func (s *ShardRunners) callTime(c StageCall) cicadapitch.Millis {
	r := s.runner(c.Shard)
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.planner.ExpectedDuration(c.Pieces)
}

// FreeResults frees the results c.Handles at their endpoints in the background. If
// c.IfNeeded is set, it marks them as fetched instead, and the planner frees them
// when their endpoint lacks room.
func (s *ShardRunners) FreeResults(c FreeCall) {
	r := s.runner(c.Shard)
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.IfNeeded {
		r.planner.RecordFetched(c.Handles)
		r.applyPlan(s.clock.Now())
		return
	}
	r.queueFree(c.Handles)
}

// RecordRefusal records that a request with the input key c.Key was refused, so that
// a retry with the same key gets preference.
func (s *ShardRunners) RecordRefusal(c RefusalNotice) {
	r := s.runner(c.Shard)
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planner.RecordRefusal(s.clock.Now(), c.Key)
}

// Waits returns the queue waits by shard key, for the shards whose planner at
// this host has jobs, running calls or results.
func (s *ShardRunners) Waits() map[string]QueueWaits {
	now := s.clock.Now()
	out := map[string]QueueWaits{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for shard, r := range s.runners {
		r.mu.Lock()
		if !r.planner.Idle() {
			w := make(QueueWaits, reportedPriorities, reportedPriorities+1)
			for p := range w {
				w[p] = r.planner.EstimateWait(now, p)
			}
			w = append(w, r.planner.EstimateLateWait(now))
			out[shard.Key()] = w
		}
		r.mu.Unlock()
	}
	return out
}

// recordPace records how long work takes at an endpoint at the moment, as a factor of the normal time.
func (s *ShardRunners) recordPace(e catalog.Endpoint, factor float64) {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for shard, r := range s.runners {
		if shard.Contains(e) {
			r.mu.Lock()
			r.planner.RecordPace(now, e.ID, factor)
			r.mu.Unlock()
		}
	}
}

// setView applies the endpoints and the batch settings of a view to the planner.
func (r *shardRunner) setView(v *fleet.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view = v
	if v.Catalog != nil {
		if spec := v.Catalog.Services[r.shard.Service]; spec != nil && spec.Batch != nil {
			r.planner.SetSpec(*spec.Batch)
		}
	}
	r.obsolete = !slices.Contains(batch.ShardsOf(r.shard.Service, v), r.shard)
	r.inUse = nil
	for _, e := range v.Endpoints(r.shard.Service) {
		if r.shard.Contains(e.Endpoint) {
			r.inUse = append(r.inUse, e)
		}
	}
	r.planEndpoints(r.shards.clock.Now())
}

// submit adds a job whose outcome is sent to done.
func (r *shardRunner) submit(now cicadapitch.Instant, j batch.Job, done chan batch.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters[j.ID] = done
	r.planner.Submit(now, j)
	r.applyPlan(now)
}

// cancel cancels a job, and frees its results if it has just ended.
func (r *shardRunner) cancel(id batch.JobID, done <-chan batch.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case out := <-done:
		r.queueFree(out.Handles)
	default:
	}
	delete(r.waiters, id)
	r.planner.Cancel(id)
	r.applyPlan(r.shards.clock.Now())
}

// onTimer is the function of the runner's timer. It frees the pending results, hands
// over the queued jobs if another host owns the shard or the service is no longer
// divided into it, and runs the planner.
func (r *shardRunner) onTimer() {
	// owns locks the membership, which calls setView with its lock held, and setView
	// locks mu. Calling owns under mu would deadlock.
	owns := r.shards.owns == nil || r.shards.owns(r.shard)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendPendingFrees(r.shards.clock.Now())
	if !owns || r.obsolete {
		r.planner.HandOver()
	}
	r.applyPlan(r.shards.clock.Now())
}

// applyPlan runs the planner and executes its commands: it delivers outcomes,
// starts calls, queues frees and resets the timer. The caller holds mu.
func (r *shardRunner) applyPlan(now cicadapitch.Instant) {
	r.planner.SetRateLimits(r.shards.limits.Of)
	r.limitVersion(now)
	calls, outcomes, toFree, delay := r.planner.Plan(now)
	for cause, work := range r.planner.TakeWaste() {
		r.shards.metrics.Tagged(map[string]string{"Service": r.shard.Key(), "Cause": cause.String()}).Counter("StageWasteMs").Inc(int64(work))
	}
	for _, out := range outcomes {
		if ch := r.waiters[out.Job]; ch != nil {
			ch <- out
			delete(r.waiters, out.Job)
		}
	}
	for _, c := range calls {
		r.logCall(c)
		r.recordStart(now, c)
		go r.runCall(c, now)
		if r.shards.onFetched != nil {
			time.AfterFunc(inputFetchTime.Duration(), func() { r.reportFetched(c.ID) })
		}
	}
	r.queueFree(toFree)
	if !r.planner.Idle() || len(r.pendingFree) > 0 {
		r.timer.Reset(delay.Duration())
	}
}

// logCall logs the start of a call with the ids of its requests.
func (r *shardRunner) logCall(c batch.Call) {
	ids := make([]string, 0, len(c.Pieces))
	for _, ref := range c.Pieces {
		if n := len(ids); n == 0 || ids[n-1] != string(ref.Job.Request) {
			ids = append(ids, string(ref.Job.Request))
		}
	}
	r.shards.log.Info().Str("Service", r.shard.Key()).Uint64("Call", uint64(c.ID)).Str("Endpoint", string(c.Endpoint.ID)).
		Int64("EntryRevision", c.Endpoint.Revision.Number()).Int("Pieces", len(c.Pieces)).Strs("Ids", ids).
		Int64("ExpectedMs", int64(c.ExpectedDuration)).Int("Queued", c.Queued).Int64("RoomUsed", int64(c.RoomUsed)).Msg("stage call")
}

// runCall sends a call to its endpoint and reports the results to the planner.
func (r *shardRunner) runCall(c batch.Call, plannedAt cicadapitch.Instant) {
	timeout := max(callTimeoutFactor*c.ExpectedDuration, minSilenceTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout.Duration())
	defer cancel()
	pieces := make([]platform.Piece, len(c.Pieces))
	for i, ref := range c.Pieces {
		pieces[i] = platform.Piece{
			Request: ref.Job.Request, Stage: ref.Job.Stage, Index: ref.Index,
			Timeout: max(ref.Job.ExpiresAt.Sub(plannedAt), 1), Key: ref.Job.Key, Inputs: ref.Job.Inputs,
		}
	}
	results, err := r.shards.endpoints.RunPieces(ctx, c.Endpoint, pieces)
	failure := batch.NoFailure
	if err != nil {
		failure = batch.CallFailed
		if cicadapitch.KindOf(err) == cicadapitch.NotRun && cicadapitch.AsError(err).RetryAfter > 0 {
			failure = batch.CallRefused
		}
	}
	pieceResults := make([]batch.PieceResult, len(results))
	succeeded, noRoom := 0, 0
	for i, res := range results {
		pieceResults[i] = batch.PieceResult{Handle: res.Handle, InputLost: res.InputMissing(), Expired: res.Expired(), NoRoom: res.AtCapacity(), Failed: res.Failed()}
		if res.Handle != "" {
			succeeded++
		}
		if res.AtCapacity() {
			noRoom++
		}
	}
	r.shards.log.Info().Str("Service", r.shard.Key()).Uint64("Call", uint64(c.ID)).Str("Endpoint", string(c.Endpoint.ID)).
		Int("Pieces", len(c.Pieces)).Int("Made", succeeded).Int("NoRoom", noRoom).Int64("ExpectedMs", int64(c.ExpectedDuration)).
		Int64("TookMs", int64(r.shards.clock.Now().Sub(plannedAt))).Err(err).Msg("stage call ended")
	r.shards.metrics.Tagged(map[string]string{"Service": r.shard.Key()}).Counter("StageCalls").Inc(1)
	r.shards.metrics.Tagged(map[string]string{"Service": r.shard.Key()}).Counter("StagePieces").Inc(int64(len(c.Pieces)))
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.shards.clock.Now()
	r.recordEnd(now, c, failure, pieceResults)
	r.planner.FinishCall(now, c.ID, pieceResults, failure)
	if failure == batch.CallRefused {
		r.planner.Pause(c.Endpoint.ID, now.Add(cicadapitch.AsError(err).RetryAfter))
	}
	r.applyPlan(now)
}

// reportFetched tells the owners of a call's inputs that the call has fetched them.
func (r *shardRunner) reportFetched(id batch.CallID) {
	r.mu.Lock()
	inputs := r.planner.FetchedInputs(id)
	r.mu.Unlock()
	for shard, handles := range inputs {
		r.shards.onFetched(FreeCall{Shard: shard, Handles: handles, IfNeeded: true})
	}
}

// queueFree queues results to be freed at their endpoints. It drops handles whose
// endpoint is not known; their results expire. The caller holds mu.
func (r *shardRunner) queueFree(handles []string) {
	if len(handles) == 0 {
		return
	}
	located, unknown := r.planner.Locate(handles)
	for _, h := range unknown {
		if id, ok := r.endpointOf(h); ok {
			located[id] = append(located[id], h)
		}
	}
	for id, list := range located {
		if len(r.pendingFree[id]) == 0 {
			r.timer.Reset(freeBatchDelay.Duration())
		}
		r.pendingFree[id] = append(r.pendingFree[id], list...)
	}
}

// endpointOf finds the endpoint of a result by the address in its handle. The
// planner does not know results that an earlier owner of the shard requested.
func (r *shardRunner) endpointOf(handle string) (cicadapitch.EndpointID, bool) {
	address := platform.HandleAddress(handle)
	for _, e := range r.view.Endpoints(r.shard.Service) {
		if e.Address == address {
			return e.ID, true
		}
	}
	return "", false
}

// sendPendingFrees frees the pending results at the endpoints whose rate limits allow a
// call now. The others keep theirs until one does; results expire by themselves. The
// caller holds mu.
func (r *shardRunner) sendPendingFrees(now cicadapitch.Instant) {
	for id, handles := range r.pendingFree {
		interval, ok := r.planner.FreeInterval(id)
		switch {
		case !ok:
			delete(r.pendingFree, id)
		case r.planner.Paused(now, id):
		case now.Sub(r.freedAt[id]) >= interval:
			delete(r.pendingFree, id)
			r.freedAt[id] = now
			r.sendFree(id, handles)
		}
	}
	maps.DeleteFunc(r.freedAt, func(id cicadapitch.EndpointID, _ cicadapitch.Instant) bool {
		_, known := r.planner.Endpoint(id)
		return !known
	})
}

// sendFree frees results at their endpoint in the background. It does nothing if the
// planner no longer has the endpoint. The caller holds mu.
func (r *shardRunner) sendFree(id cicadapitch.EndpointID, handles []string) {
	e, ok := r.planner.Endpoint(id)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout.Duration())
		defer cancel()
		if err := r.shards.endpoints.FreeResults(ctx, e, handles); err != nil {
			if cause := cicadapitch.AsError(err); cause != nil && cause.Kind == cicadapitch.NotRun {
				r.mu.Lock()
				r.planner.Pause(id, r.shards.clock.Now().Add(cause.RetryAfter))
				r.mu.Unlock()
			}
			r.shards.log.Warn().Str("Endpoint", string(id)).Int("Results", len(handles)).Err(err).
				Msg("freeing stage results at the endpoint failed; they expire by themselves")
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.planner.RecordFreed(handles)
		r.applyPlan(r.shards.clock.Now())
	}()
}
