package endpoint

import (
	"context"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// Start starts the background loop, which runs until ctx ends, and returns. In
// each Policy.TickInterval the loop applies a new configuration to the shards,
// requests due load reports and refuses queued attempts that can no longer meet
// their deadlines.
func (o *Owner) Start(ctx context.Context) {
	go func() {
		for o.clock.Sleep(ctx, o.policy.TickInterval) == nil {
			o.tick(ctx)
		}
	}()
}

// tick runs one round of the background loop.
func (o *Owner) tick(ctx context.Context) {
	now := o.clock.Now()
	cfg := o.configurations.Current()
	o.mu.RLock()
	shards := lo.Values(o.shards)
	o.mu.RUnlock()
	for _, s := range shards {
		s.tick(now, cfg)
		for _, e := range s.duePolls(now) {
			go o.poll(ctx, s, e)
		}
	}
}

// poll reads one endpoint's load report and applies it to the shard.
func (o *Owner) poll(ctx context.Context, s *shard, e cicadapitch.Endpoint) {
	_, driver, err := o.poolAndDriver(e.Pool)
	if err != nil {
		s.reportFailed(e.ID)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, o.policy.PollTimeout.Duration())
	defer cancel()
	requested := o.clock.Now()
	r, err := driver.Load(ctx, e)
	if err != nil {
		s.reportFailed(e.ID)
		o.log.Debug().Str("Endpoint", string(e.ID)).Err(err).Msg("cannot read the load report")
		return
	}
	s.report(o.clock.Now(), requested, e.ID, r)
}
