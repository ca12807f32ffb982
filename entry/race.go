package entry

import (
	"context"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// race runs one attempt, and a second one beside it where the first is slow.
// The first result counts. It returns once ctx ends, whatever the runner does.
func (r *stageRun) race(ctx context.Context) (cicadapitch.StageResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	landings := make(chan landing, maxFlights)
	first, err := r.launch(ctx, landings)
	if err != nil {
		return cicadapitch.StageResult{}, err
	}
	flights := []*flight{first}
	slow := r.slow(ctx)
	for {
		select {
		case l := <-landings:
			flights = slices.DeleteFunc(flights, func(f *flight) bool { return f == l.flight })
			res, err := r.land(ctx, l)
			if err == nil || len(flights) == 0 {
				r.abandonAll(flights)
				return res, err
			}
		case <-slow:
			slow = nil
			flights = append(flights, r.hedge(ctx, landings)...)
		case <-ctx.Done():
			r.abandonAll(flights)
			return cicadapitch.StageResult{}, ended(ctx, nil)
		}
	}
}

func (r *stageRun) abandonAll(flights []*flight) {
	for _, f := range flights {
		r.abandon(f)
	}
}

// slow returns a channel that is closed once the attempt takes longer than
// almost all do, or nil where it may not be hedged. A stream is not hedged,
// because two attempts can bring different texts.
func (r *stageRun) slow(ctx context.Context) <-chan struct{} {
	if !r.s.hedging || !r.stage.Idempotent || r.stage.Streams || r.delivered != "" {
		return nil
	}
	ch := make(chan struct{})
	tail := r.s.estimates.of(r.stage).Tail()
	go func() {
		if r.s.clock.Sleep(ctx, tail) == nil {
			close(ch)
		}
	}()
	return ch
}

// hedge starts a second attempt at another shard where the budget allows it.
func (r *stageRun) hedge(ctx context.Context, landings chan<- landing) []*flight {
	if !r.s.budget.spend() {
		return nil
	}
	r.avoid = append(r.avoid, r.shard.Shard)
	f, err := r.launch(ctx, landings)
	if err != nil {
		return nil
	}
	r.s.metrics.Hedged(r.stage.ID)
	return []*flight{f}
}
