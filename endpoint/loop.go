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
			o.tick(o.clock.Now(), o.configurations.Current())
		}
	}()
}

func (o *Owner) tick(now cicadapitch.Instant, cfg *cicadapitch.Configuration) {
	o.mu.RLock()
	shards := lo.Values(o.shards)
	o.mu.RUnlock()
	for _, s := range shards {
		s.tick(now, cfg)
	}
}
