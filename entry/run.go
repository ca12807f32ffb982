package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

// run admits a request and passes it through its stages: the output of one is
// the input of the next.
func (s *Server) run(ctx context.Context, w work, out *output) (cicadapitch.Answer, error) {
	ctx, cancel := withTimeout(ctx, s.clock, w.deadline.Sub(s.clock.Now()))
	defer cancel()
	rec := &record{work: w, out: out}
	if err := s.admit(rec); err != nil {
		return cicadapitch.Answer{}, rec.verdict(err)
	}
	s.budget.Deposit()
	text := w.req.Input
	for i := range w.pipeline.Stages {
		res, err := s.runStage(ctx, rec, i, text)
		if err != nil {
			return cicadapitch.Answer{}, rec.verdict(err)
		}
		text = res.Output
	}
	return cicadapitch.Answer{Request: rec.id, Output: text, Stages: rec.reports}, nil
}

// admit refuses a request that cannot meet its deadline.
func (s *Server) admit(rec *record) error {
	left := rec.deadline.Sub(s.clock.Now())
	if left <= 0 {
		return cicadapitch.NewNotRun("the deadline has passed", 1)
	}
	plan := make(pipeline.Plan, 0, len(rec.pipeline.Stages))
	for _, st := range rec.pipeline.Stages {
		c, ok := s.choose(rec, st, pipeline.ShardQuery{})
		if !ok {
			return cicadapitch.NewNotRun("no endpoint of the pool "+string(st.Pool)+" is in service", cicadapitch.Second)
		}
		plan = append(plan, pipeline.StageEstimate{Wait: c.Wait, Service: c.Service})
	}
	if err := s.throttled(rec); err != nil {
		return err
	}
	return s.ownWaits(rec, plan).Admit(left)
}

// choose picks a shard for a stage. The query brings what is particular to the
// attempt.
func (s *Server) choose(rec *record, st cicadapitch.Stage, q pipeline.ShardQuery) (pipeline.ShardChoice, bool) {
	self := s.members.Self()
	now := s.clock.Now()
	cfg := s.current(rec.cfg)
	g := s.router.group(cfg, st.Pool)
	q.Prefix = rec.req.Prefix
	q.Zone = self.Zone
	q.Region = self.Region
	q.Weight = cfg.Weight
	q.Hosts = s.peers.count(now)
	q.Expected = s.estimates.of(st).MeanMillis()
	q.Random = s.random.next()
	return pipeline.ChooseShard(g, func(i int) pipeline.ShardState {
		return s.router.state(g.Members[i].Shard, now)
	}, q)
}

// current returns the configuration in force, or the given one where the host
// has none.
func (s *Server) current(cfg *cicadapitch.Configuration) *cicadapitch.Configuration {
	if c := s.configurations.Current(); c != nil && c.Revision > cfg.Revision {
		return c
	}
	return cfg
}

// split returns the spans for stage i of a request.
func (s *Server) split(rec *record, i int) (budget, limit cicadapitch.Millis) {
	plan := make(pipeline.Plan, 0, len(rec.pipeline.Stages)-i)
	for _, st := range rec.pipeline.Stages[i:] {
		plan = append(plan, pipeline.StageEstimate{Service: s.estimates.of(st).MeanMillis()})
	}
	return plan.Split(rec.deadline.Sub(s.clock.Now()))
}
