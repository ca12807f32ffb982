package endpoint

import (
	"context"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// Start runs the background loop until ctx ends and returns at once. The loop
// follows the configuration, reads load reports and looks at the time.
func (o *Owner) Start(ctx context.Context) {
	go func() {
		for o.clock.Sleep(ctx, o.policy.TickEvery) == nil {
			o.tick(ctx)
		}
	}()
}

func (o *Owner) tick(ctx context.Context) {
	now := o.clock.Now()
	cfg := o.configurations.Current()
	o.mu.RLock()
	shards := lo.Values(o.shards)
	o.mu.RUnlock()
	for _, s := range shards {
		s.tick(now, cfg)
		for _, e := range s.due(now) {
			go o.poll(ctx, s, e)
		}
	}
}

// poll reads one endpoint's load report.
func (o *Owner) poll(ctx context.Context, s *shard, e cicadapitch.Endpoint) {
	_, driver, err := o.route(e.Pool)
	if err != nil {
		s.unread(e.ID)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, o.policy.PollTimeout.Duration())
	defer cancel()
	requested := o.clock.Now()
	r, err := driver.Load(ctx, e)
	if err != nil {
		s.unread(e.ID)
		o.log.Debug().Str("Endpoint", string(e.ID)).Err(err).Msg("load report unread")
		return
	}
	s.report(o.clock.Now(), requested, e.ID, r)
}
