package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// runStages admits a request and runs its stages in order. The output of each stage
// is the input of the next.
func (s *Server) runStages(ctx context.Context, rr resolvedRequest, chunks *chunkSink) (cicadapitch.Answer, error) {
	ctx, cancel := withTimeout(ctx, s.clock, rr.deadline.Sub(s.clock.Now()))
	defer cancel()
	ctx, end := s.withEnd(ctx)
	defer end()
	request := &requestRun{resolvedRequest: rr, chunks: chunks}
	if err := s.admit(request); err != nil {
		return cicadapitch.Answer{}, request.callerError(err)
	}
	s.budget.Deposit()
	text := rr.req.Input
	for i := range rr.pipeline.Stages {
		res, err := s.runStage(ctx, request, i, text)
		if err != nil {
			return cicadapitch.Answer{}, request.callerError(err)
		}
		text = res.Output
	}
	return cicadapitch.Answer{Request: request.id, Output: text, Stages: request.reports}, nil
}

// admit returns a NotRun error if the request cannot meet its deadline, if a pool has
// no endpoint in service, or if checkThrottles refuses the request.
func (s *Server) admit(request *requestRun) error {
	left := request.deadline.Sub(s.clock.Now())
	if left <= 0 {
		return cicadapitch.NewNotRun("the deadline has passed", 1)
	}
	plan := make(pipeline.Plan, 0, len(request.pipeline.Stages))
	for _, st := range request.pipeline.Stages {
		c, ok := s.chooseShard(request, st, pipeline.ShardQuery{})
		if !ok {
			return cicadapitch.NewNotRun("no endpoint of the pool "+string(st.Pool)+" is in service", cicadapitch.Second)
		}
		plan = append(plan, pipeline.StageEstimate{Wait: c.Wait, Service: c.Service})
	}
	if err := s.checkThrottles(request); err != nil {
		return err
	}
	return s.withoutOtherCustomersWaits(request, plan).Admit(left)
}

// chooseShard chooses a shard for a stage. The caller sets Budget and Avoid of the
// query, and chooseShard the other fields. It returns false if no endpoint of the
// pool is in service.
func (s *Server) chooseShard(request *requestRun, st cicadapitch.Stage, q pipeline.ShardQuery) (pipeline.ShardChoice, bool) {
	self := s.members.Self()
	now := s.clock.Now()
	cfg := s.newestConfiguration(request.cfg)
	g := s.shards.group(cfg, st.Pool)
	q.Prefix = request.req.Prefix
	q.Zone = self.Zone
	q.Region = self.Region
	q.Weight = cfg.Weight
	q.Hosts = s.hosts.count(now)
	q.Expected = s.serviceTimes.get(st).MeanMillis()
	q.Random = s.random.next()
	return pipeline.ChooseShard(g, func(i int) pipeline.ShardState {
		return s.shards.state(g.Members[i].Shard, now)
	}, q)
}

// newestConfiguration returns the configuration in force if it is newer than
// cfg, or else cfg.
func (s *Server) newestConfiguration(cfg *cicadapitch.Configuration) *cicadapitch.Configuration {
	if c := s.configurations.Current(); c != nil && c.Revision > cfg.Revision {
		return c
	}
	return cfg
}

// stageTime divides the time until the deadline among the stages from i on. Budget
// is the share of stage i by its service time. Limit is the longest time that stage
// i may take and still leave the later stages their service times.
func (s *Server) stageTime(request *requestRun, i int) (budget, limit cicadapitch.Millis) {
	plan := make(pipeline.Plan, 0, len(request.pipeline.Stages)-i)
	for _, st := range request.pipeline.Stages[i:] {
		plan = append(plan, pipeline.StageEstimate{Service: s.serviceTimes.get(st).MeanMillis()})
	}
	return plan.Split(request.deadline.Sub(s.clock.Now()))
}
