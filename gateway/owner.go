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
	// callGiveUp bounds a call to a stage endpoint as a multiple of its expected
	// time. Its pieces went to others long before.
	callGiveUp = 12
	// fetchTime is when a call that began at once has fetched its inputs: they
	// are a few megabytes over links of gigabits.
	fetchTime cicadapitch.Millis = 100
	// freePause gathers results that are given up into one call.
	freePause cicadapitch.Millis = 15
)

// Waits are the waits for the start of a call by priority, and at last that of
// late work.
type Waits = []cicadapitch.Millis

// waitLevels is the number of priorities that waits are told for.
const waitLevels = 4

// Owner runs the stage services that this host owns: it carries out the
// commands of a batch.Planner for each.
type Owner struct {
	endpoints *platform.EndpointClient
	clock     cicadapitch.Clock
	log       zerolog.Logger
	metrics   tally.Scope

	// owns reports whether this host should own a service.
	owns func(batch.Shard) bool
	// fetched tells the owner of results that they were fetched.
	fetched func(FreeCall)

	mu      sync.Mutex
	view    *fleet.View
	next    batch.JobID
	planned map[batch.Shard]*service
}

// service is one stage service. Its lock orders the planner's messages.
type service struct {
	o       *Owner
	shard   batch.Shard
	mu      sync.Mutex
	planner *batch.Planner
	waiting map[batch.JobID]chan batch.Outcome
	timer   *time.Timer
	freeing map[cicadapitch.EndpointID][]string
	// dissolved is true while the shard is none of its service any more.
	dissolved bool
	view      *fleet.View
}

func newOwner(e *platform.EndpointClient, clock cicadapitch.Clock, log zerolog.Logger, metrics tally.Scope) *Owner {
	return &Owner{
		endpoints: e, clock: clock, log: log, metrics: metrics,
		planned: map[batch.Shard]*service{},
	}
}

func (o *Owner) setView(v *fleet.View) {
	o.mu.Lock()
	o.view = v
	list := make([]*service, 0, len(o.planned))
	for _, s := range o.planned {
		list = append(list, s)
	}
	o.mu.Unlock()
	for _, s := range list {
		s.setView(v)
	}
}

func (o *Owner) service(shard batch.Shard) *service {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.planned[shard]; s != nil {
		return s
	}
	if o.view == nil || o.view.Catalog == nil {
		return nil
	}
	spec := o.view.Catalog.Services[shard.Service]
	if spec == nil || spec.Batch == nil {
		return nil
	}
	s := &service{
		o: o, shard: shard, planner: batch.NewPlanner(*spec.Batch),
		waiting: map[batch.JobID]chan batch.Outcome{},
		freeing: map[cicadapitch.EndpointID][]string{},
	}
	s.timer = time.AfterFunc(time.Hour, s.wake)
	s.setView(o.view)
	o.planned[shard] = s
	return s
}

// Run runs one stage of a request.
func (o *Owner) Run(ctx context.Context, c StageCall) (StageReply, error) {
	s := o.service(c.Shard)
	if s == nil {
		return StageReply{}, cicadapitch.NewNotRun("stage service "+c.Shard.Key()+" is not configured here", notReadyRetry)
	}
	o.mu.Lock()
	o.next++
	id := o.next
	o.mu.Unlock()
	now := o.clock.Now()
	done := make(chan batch.Outcome, 1)
	s.submit(now, batch.Job{
		ID: id, Request: c.Request, Stage: c.Stage, Pieces: c.Pieces, Key: c.Key, Inputs: c.Inputs,
		InputShards: c.InputShards, Zone: c.Zone, MoveBytes: c.MoveBytes, ResultBytes: c.ResultBytes, Priority: c.Priority, Returned: c.Returned, StandIn: c.StandIn,
		Due: now.Add(c.DueIn), Expire: now.Add(c.ExpireIn),
	}, done)
	select {
	case out := <-done:
		return StageReply{Handles: out.Handles, Zone: out.Zone, Lost: out.Lost, Moved: out.Moved, Returned: out.Returned, Reason: out.Reason, RetryAfter: out.RetryAfter}, nil
	case <-ctx.Done():
		s.cancel(id, done)
		return StageReply{}, context.Cause(ctx)
	}
}

// Free gives up results, or marks those that may be given up.
func (o *Owner) Free(c FreeCall) {
	s := o.service(c.Shard)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.IfNeeded {
		s.planner.Fetched(c.Handles)
		s.plan(o.clock.Now())
		return
	}
	s.giveUp(c.Handles)
}

// Refused takes that a caller was refused.
func (o *Owner) Refused(c RefusedCall) {
	s := o.service(c.Shard)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.Refused(o.clock.Now(), c.Key)
}

// Waits returns the waits of the services that have work here.
func (o *Owner) Waits() map[string]Waits {
	now := o.clock.Now()
	out := map[string]Waits{}
	o.mu.Lock()
	defer o.mu.Unlock()
	for shard, s := range o.planned {
		s.mu.Lock()
		if !s.planner.Idle() {
			w := make(Waits, waitLevels, waitLevels+1)
			for p := range w {
				w[p] = s.planner.Wait(now, p)
			}
			w = append(w, s.planner.LateWait(now))
			out[shard.Key()] = w
		}
		s.mu.Unlock()
	}
	return out
}

func (s *service) setView(v *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.view = v
	if v.Catalog != nil {
		if spec := v.Catalog.Services[s.shard.Service]; spec != nil && spec.Batch != nil {
			s.planner.SetSpec(*spec.Batch)
		}
	}
	s.dissolved = !slices.Contains(batch.ShardsOf(s.shard.Service, v), s.shard)
	var list []catalog.Endpoint
	for _, e := range v.Endpoints(s.shard.Service) {
		if s.shard.Holds(e.Endpoint) {
			list = append(list, e.Endpoint)
		}
	}
	s.planner.SetEndpoints(list)
}

func (s *service) submit(now cicadapitch.Instant, j batch.Job, done chan batch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[j.ID] = done
	s.planner.Submit(now, j)
	s.plan(now)
}

// cancel drops a job that nobody waits for, and its results if it has just ended.
func (s *service) cancel(id batch.JobID, done <-chan batch.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case out := <-done:
		s.giveUp(out.Handles)
	default:
	}
	delete(s.waiting, id)
	s.planner.Cancel(id)
	s.plan(s.o.clock.Now())
}

func (s *service) wake() {
	// The mesh holds its lock while it hands a view to services, so it is asked
	// before theirs is taken.
	owns := s.o.owns == nil || s.o.owns(s.shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, handles := range s.freeing {
		delete(s.freeing, id)
		s.sendFree(id, handles)
	}
	if !owns || s.dissolved {
		s.planner.HandOver()
	}
	s.plan(s.o.clock.Now())
}

// plan carries out what the planner asks for. The caller holds mu.
func (s *service) plan(now cicadapitch.Instant) {
	calls, done, orphans, next := s.planner.Plan(now)
	for _, out := range done {
		if ch := s.waiting[out.Job]; ch != nil {
			ch <- out
			delete(s.waiting, out.Job)
		}
	}
	for _, c := range calls {
		s.log(c)
		go s.call(c, now)
		if s.o.fetched != nil {
			time.AfterFunc(fetchTime.Duration(), func() { s.reportFetched(c.ID) })
		}
	}
	s.giveUp(orphans)
	if !s.planner.Idle() || len(s.freeing) > 0 {
		s.timer.Reset(next.Duration())
	}
}

func (s *service) log(c batch.Call) {
	ids := make([]string, 0, len(c.Pieces))
	for _, ref := range c.Pieces {
		if n := len(ids); n == 0 || ids[n-1] != string(ref.Job.Request) {
			ids = append(ids, string(ref.Job.Request))
		}
	}
	s.o.log.Info().Str("Service", s.shard.Key()).Uint64("Call", uint64(c.ID)).Str("Endpoint", string(c.Endpoint.ID)).
		Int64("EntryRevision", int64(c.Endpoint.Revision)).Int("Pieces", len(c.Pieces)).Strs("Ids", ids).
		Int64("ExpectedMs", int64(c.Expected)).Int("Queued", c.Queued).Int64("RoomUsed", int64(c.RoomUsed)).Msg("stage call")
}

func (s *service) call(c batch.Call, now cicadapitch.Instant) {
	ctx, cancel := context.WithTimeout(context.Background(), callGiveUp*c.Expected.Duration())
	defer cancel()
	pieces := make([]platform.Piece, len(c.Pieces))
	for i, ref := range c.Pieces {
		pieces[i] = platform.Piece{
			Request: ref.Job.Request, Stage: ref.Job.Stage, Index: ref.Index,
			Timeout: max(ref.Job.Expire.Sub(now), 1), Key: ref.Job.Key, Inputs: ref.Job.Inputs,
		}
	}
	results, err := s.o.endpoints.RunPieces(ctx, c.Endpoint, pieces)
	failure := batch.None
	if err != nil {
		failure = batch.Broken
		if cicadapitch.KindOf(err) == cicadapitch.NotRun && cicadapitch.AsError(err).RetryAfter > 0 {
			failure = batch.Full
		}
	}
	out := make([]batch.PieceResult, len(results))
	made, full := 0, 0
	for i, r := range results {
		out[i] = batch.PieceResult{Handle: r.Handle, Gone: r.InputMissing(), Late: r.Expired(), NoRoom: r.AtCapacity(), Failed: r.Failed()}
		if r.Handle != "" {
			made++
		}
		if r.AtCapacity() {
			full++
		}
	}
	s.o.log.Info().Str("Service", s.shard.Key()).Uint64("Call", uint64(c.ID)).Str("Endpoint", string(c.Endpoint.ID)).
		Int("Pieces", len(c.Pieces)).Int("Made", made).Int("NoRoom", full).Int64("ExpectedMs", int64(c.Expected)).
		Int64("TookMs", int64(s.o.clock.Now().Sub(now))).Err(err).Msg("stage call ended")
	s.o.metrics.Tagged(map[string]string{"Service": s.shard.Key()}).Counter("StageCalls").Inc(1)
	s.o.metrics.Tagged(map[string]string{"Service": s.shard.Key()}).Counter("StagePieces").Inc(int64(len(c.Pieces)))
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.o.clock.Now()
	s.planner.Finish(at, c.ID, out, failure)
	s.plan(at)
}

// reportFetched tells the owners of a call's inputs that they were fetched.
func (s *service) reportFetched(id batch.CallID) {
	s.mu.Lock()
	used := s.planner.FetchedBy(id)
	s.mu.Unlock()
	for shard, handles := range used {
		s.o.fetched(FreeCall{Shard: shard, Handles: handles, IfNeeded: true})
	}
}

// giveUp gathers results to give up. The caller holds mu.
func (s *service) giveUp(handles []string) {
	if len(handles) == 0 {
		return
	}
	located, unknown := s.planner.Locate(handles)
	for _, h := range unknown {
		if id, ok := s.makerOf(h); ok {
			located[id] = append(located[id], h)
		}
	}
	for id, list := range located {
		if len(s.freeing[id]) == 0 {
			s.timer.Reset(freePause.Duration())
		}
		s.freeing[id] = append(s.freeing[id], list...)
	}
}

// makerOf finds the endpoint that holds a result which another owner ordered.
func (s *service) makerOf(handle string) (cicadapitch.EndpointID, bool) {
	address := platform.HandleAddress(handle)
	for _, e := range s.view.Endpoints(s.shard.Service) {
		if e.Address == address {
			return e.ID, true
		}
	}
	return "", false
}

// sendFree gives up results at their endpoint. The caller holds mu.
func (s *service) sendFree(id cicadapitch.EndpointID, handles []string) {
	e, ok := s.planner.Endpoint(id)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout.Duration())
		defer cancel()
		if err := s.o.endpoints.FreeResults(ctx, e, handles); err != nil {
			s.o.log.Warn().Str("Endpoint", string(id)).Int("Results", len(handles)).Err(err).
				Msg("results were not given up; they end by themselves")
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.planner.Freed(handles)
		s.plan(s.o.clock.Now())
	}()
}
