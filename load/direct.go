package load

import (
	"context"
	"fmt"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
)

// DirectSender sends requests straight to the endpoints, stage by stage and by
// turns. It is the baseline of the added latency.
type DirectSender struct {
	cfg     *cicadapitch.Configuration
	drivers map[cicadapitch.PoolKind]cicadapitch.Driver
	turn    atomic.Uint64
}

var _ Sender = (*DirectSender)(nil)

// NewDirectSender returns a sender to the endpoints of a configuration.
func NewDirectSender(cfg *cicadapitch.Configuration) *DirectSender {
	return &DirectSender{
		cfg: cfg,
		drivers: map[cicadapitch.PoolKind]cicadapitch.Driver{
			cicadapitch.Engine:  driver.NewEngine(),
			cicadapitch.Service: driver.NewService(),
		},
	}
}

// Do implements Sender.
func (d *DirectSender) Do(ctx context.Context, req cicadapitch.Request, sink func(cicadapitch.Chunk)) (cicadapitch.Answer, error) {
	p, ok := d.cfg.Pipeline(req.Pipeline)
	if !ok {
		return cicadapitch.Answer{}, invalid("no pipeline " + string(req.Pipeline))
	}
	turn := d.turn.Add(1)
	a := cicadapitch.Answer{Output: req.Input}
	for _, s := range p.Stages {
		pool, _ := d.cfg.Pool(s.Pool)
		id := cicadapitch.AttemptID{
			Request: cicadapitch.RequestID(fmt.Sprintf("direct-%d", turn)), Stage: s.ID, Number: 1,
		}
		call := cicadapitch.Call{
			Attempt: id, Endpoint: d.endpoint(s.Pool, turn), Model: pool.Model, Input: a.Output,
			Prefix: req.Prefix, MaxTokens: s.MaxTokens, Timeout: p.Deadline,
		}
		r, err := d.drivers[pool.Kind].Call(ctx, call, pass(s, id, sink))
		if err != nil {
			return a, err
		}
		a.Output = r.Output
	}
	return a, nil
}

// pass returns a sink for the text of one stage, which drops it where the stage
// does not stream.
func pass(s cicadapitch.Stage, id cicadapitch.AttemptID, sink func(cicadapitch.Chunk)) func(string) {
	return func(text string) {
		if s.Streams {
			sink(cicadapitch.Chunk{Attempt: id, Text: text})
		}
	}
}

// endpoint returns the endpoints of a pool by turns.
func (d *DirectSender) endpoint(pool cicadapitch.PoolID, turn uint64) cicadapitch.Endpoint {
	var list []cicadapitch.Endpoint
	for _, e := range d.cfg.Endpoints {
		if e.Pool == pool {
			list = append(list, e)
		}
	}
	return list[turn%uint64(len(list))]
}
